// The processes of a small deployment, started as the deploy file says, and its platform, callers and operator.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

#include "Http.h"
#include "Worker.h"

namespace review {

struct ClusterOptions {
    // The folder of fescuegw-platform, and one for settings, logs and disks.
    std::string programs;
    std::string folder;
    size_t entries = 3;
    size_t agents = 11;
    size_t replicas = 5;
    bool recordsRuns = true;
    // How long callers wait, which is also the time-out of the route.
    int64_t patienceMs = 1500;
};

// A process that ends by itself is started again after a short delay. Not thread-safe.
class Cluster {
public:
    Cluster(ClusterOptions options, Record& record);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;
    Cluster(Cluster&&) = delete;
    Cluster& operator=(Cluster&&) = delete;

    // Starts all processes and workers, sends the configuration, and waits until each entry has run a job. Returns false if that
    // takes too long.
    bool start();

    // Starts what has ended again. Returns the names of the processes that have ended by themselves since the last call.
    std::vector<std::string> restartEnded();

    // Ends the processes that use more memory than their machine has, as the platform does. Returns their names.
    std::vector<std::string> endOversized();
    // The most resident memory that a process of the role has had, in MB.
    size_t peakMb(const std::string& role) const;

    size_t entries() const { return m_options.entries; }

    // Hands a job in at one entry. `steps` is a JSON list.
    Reply submit(size_t entry, const std::string& id, const std::string& specification, const std::string& steps) const;

    // Returns a new id of a job: 16 hexadecimal digits.
    static std::string newId();

private:
    struct Process {
        std::string role;
        std::string settings;
        std::string settingsAfterwards;
        pid_t pid = -1;
        int64_t startAt = 0;
        size_t peakMb = 0;
    };

    Address address(size_t first, size_t index, uint16_t port) const;
    std::map<std::string, std::string> fields(const std::string& role, size_t index) const;
    void add(const std::string& role, size_t index);
    void spawn(const std::string& name);
    static size_t residentMb(pid_t pid);
    bool configure() const;
    bool serves(size_t entry) const;

    ClusterOptions m_options;
    Record& m_record;
    std::string m_network;
    std::map<std::string, Process> m_processes;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace review
