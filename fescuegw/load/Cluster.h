// A cluster of real processes on loopback for experiments, with delayed links between them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fescuegw/load/Profile.h"
#include "fescuegw/scenario/Host.h"

namespace fescuegw::load {

// What the processes counted.
struct ClusterCounts {
    uint64_t starts = 0;
    uint64_t doubled = 0;
    // Sums over all processes, by metric name and "kind" label.
    std::map<std::string, double> metrics;
};

// Starts the processes of a profile and reads what they count. Not thread-safe.
class Cluster {
public:
    Cluster(const Profile&, scenario::Host&);

    // Returns once every worker serves under the configuration.
    void start();

    // Addresses at which callers reach the entries, through the clients' delay.
    const std::vector<std::string>& callers() const { return m_callers; }

    void injectFault();
    ClusterCounts counts();

    // Processor seconds and resident kilobytes of each process, by name.
    std::map<std::string, std::pair<double, uint64_t>> usage();

    void stop();

private:
    struct Process {
        std::string name;
        settings::Address http;
    };
    struct Worker {
        std::string name;
        settings::Address agentHttp;
        settings::Address upstream;
    };

    std::string write(const std::string& name, const std::string& text) const;
    std::string processSection(const std::string& name, const settings::Address& http) const;
    void startReplicas();
    void startEntries();
    void startWorkers();
    void apply();
    bool ready();
    settings::Address viaRelay(const std::string& name, const settings::Address& target, Duration delay);

    Profile m_profile;
    scenario::Host& m_host;
    std::string m_stateSection;
    std::string m_entriesSection;
    std::vector<Process> m_processes;
    std::vector<Worker> m_workers;
    std::vector<settings::Address> m_entryListens;
    std::vector<std::string> m_callers;
};

} // namespace fescuegw::load
