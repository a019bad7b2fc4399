// A small deployment on loopback: the project's processes, started with the commands of the deploy file, and workers.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fescuegw/relay/Relay.h"
#include "platform/soak/HttpConnection.h"
#include "review/standin/Record.h"
#include "review/standin/Worker.h"

namespace fescuegw::review {

struct ClusterOptions {
    std::string program;
    // For settings, data and output; has to exist.
    std::string folder;
    uint32_t replicas = 5;
    uint32_t entries = 3;
    uint32_t agents = 4;
    // The loss of so many replicas is to be borne.
    uint32_t toleratedLosses = 2;
};

enum class Role : uint8_t {
    State,
    Entry,
    Agent,
};

// The tasks of a step, which follows the one before.
struct Step {
    uint32_t tasks = 1;
    uint32_t workMs = 0;
    uint32_t estimateMs = 0;
    uint32_t cpuMilli = 6200;
};

// A best-effort job, as a client hands it in.
struct Job {
    std::string id;
    std::vector<Step> steps;
    // How long the client waits.
    uint32_t patienceMs = 0;
};

enum class JobEnd : uint8_t {
    Completed,
    Refused,
    // No answer, a broken connection, 502 or 504: the client sends the job again.
    Unclear,
    Other,
};

// Each process has an address of its own in the loopback network. Not thread-safe, but for `submit`.
class Cluster {
public:
    Cluster(ClusterOptions, Record&);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;
    Cluster(Cluster&&) = delete;
    Cluster& operator=(Cluster&&) = delete;

    // Starts all processes and workers. Agents reach entry 0 through a relay, `agentLinks`. Returns whether everything runs.
    bool start();
    // Sends the configuration until it is acknowledged. Returns false if it isn't before `due`.
    bool configure(TimePoint due);
    // Returns whether a job is completed at each entry before `due`.
    bool serves(TimePoint due);
    bool servesAt(uint32_t entry, TimePoint due);

    void spawn(Role, uint32_t index, bool firstStart);
    void signal(Role, uint32_t index, int number);
    // Kills a replica and removes what is on its disk.
    void loseReplica(uint32_t index);

    settings::Address address(Role, uint32_t index, uint16_t port) const;
    settings::Address callerAddress(uint32_t entry) const;
    relay::Relay& agentLinks() { return *m_agentLinks; }
    Worker& worker(uint32_t index) { return *m_workers.at(index); }

    // Hands a job in at `entry` and waits for its end.
    JobEnd submit(const settings::Address& entry, const Job& job);
    // Sends a DELETE for a job. Returns the status, 0 without an answer.
    int cancel(const settings::Address& entry, const std::string& id);

private:
    struct Process {
        int pid = 0;
    };

    std::string settingsOf(Role, uint32_t index, bool firstStart) const;
    void end(Process&) const;

    ClusterOptions m_options;
    Record& m_record;
    std::string m_network;
    std::map<std::string, Process> m_processes;
    std::unique_ptr<relay::Relay> m_agentLinks;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

// Returns an id for a job: 16 hexadecimal digits.
std::string newJobId();

} // namespace fescuegw::review
