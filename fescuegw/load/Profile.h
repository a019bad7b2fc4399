// What an experiment runs: the cluster, the arrivals and the faults.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fescuegw/base/Types.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::load {

// An experiment as its INI profile describes it.
struct Profile {
    std::string name;
    uint32_t replicas = 0;
    uint32_t entries = 0;
    uint32_t workers = 0;
    uint32_t slots = 0;
    std::string team;
    std::string service;
    // One-way delays between failure domains and to clients.
    Duration domainDelay {};
    Duration clientDelay {};

    uint64_t seed = 0;
    Duration warmUp {};
    Duration length {};
    uint32_t utilisationPercent = 0;
    // Of 100 jobs: those of one task, and those of the largest size; the others have 2 to `jobTasks` tasks.
    uint32_t singlePercent = 0;
    uint32_t largePercent = 0;
    uint32_t jobTasks = 0;
    uint32_t largeTasks = 0;
    uint32_t runLeastMs = 0;
    uint32_t runMostMs = 0;
    // Of 1000 tasks: those that run for `longMs`.
    uint32_t longPermille = 0;
    uint32_t longMs = 0;
    // Of 100 tasks: those whose declared run time is wrong.
    uint32_t wrongPercent = 0;
    uint32_t cancelPercent = 0;
    // none, fail (one upstream fails all), kill-agent, kill-entry, kill-state: halfway through.
    std::string fault;
};

// Reads a profile; faults are kept by `document`.
Profile readProfile(settings::Document& document);

// One job of an experiment.
struct Job {
    std::string id;
    // Since the start of the experiment.
    Duration arrival {};
    std::vector<Duration> runs;
    bool measured = false;
    bool cancelled = false;
};

// Returns the jobs of an experiment: a Poisson process whose work fills `utilisationPercent` of the slots. The same profile
// always gives the same jobs.
std::vector<Job> makeJobs(const Profile&);

} // namespace fescuegw::load
