#include "fescuegw/load/Profile.h"

#include <random>

namespace fescuegw::load {

namespace {

    constexpr double percent = 100;
    constexpr double permille = 1000;
    constexpr uint32_t mostTasks = 840;

    uint32_t number(
        settings::Document& document, const char* section, const char* key, uint64_t absent, uint64_t least, uint64_t most)
    {
        return static_cast<uint32_t>(document.numberOr(section, key, absent, least, most));
    }

    double meanTasks(const Profile& profile)
    {
        const double single = profile.singlePercent / percent;
        const double large = profile.largePercent / percent;
        return single + large * profile.largeTasks + (1 - single - large) * (2 + profile.jobTasks) / 2;
    }

    double meanRunMs(const Profile& profile)
    {
        const double longShare = profile.longPermille / permille;
        return longShare * profile.longMs + (1 - longShare) * (profile.runLeastMs + profile.runMostMs) / 2;
    }

} // namespace

Profile readProfile(settings::Document& document)
{
    Profile profile;
    profile.name = document.name("cluster", "name");
    profile.replicas = number(document, "cluster", "replicas", 3, 1, 7);
    profile.entries = number(document, "cluster", "entries", 2, 1, 7);
    profile.workers = number(document, "cluster", "workers", 12, 1, 300);
    profile.slots = number(document, "cluster", "slots", 8, 1, 256);
    profile.team = document.name("cluster", "team");
    profile.service = document.name("cluster", "service");
    profile.domainDelay = Duration(document.numberOr("cluster", "domain-delay-us", 0, 0));
    profile.clientDelay = Duration(document.numberOr("cluster", "client-delay-us", 0, 0));
    profile.seed = document.numberOr("load", "seed", 1, 0);
    profile.warmUp = std::chrono::milliseconds(document.numberOr("load", "warm-up-ms", 2000, 0));
    profile.length = std::chrono::milliseconds(document.numberOr("load", "length-ms", 20000, 100));
    profile.utilisationPercent = number(document, "load", "utilisation-percent", 80, 1, 1000);
    profile.singlePercent = number(document, "load", "single-percent", 50, 0, 100);
    profile.largePercent = number(document, "load", "large-percent", 0, 0, 100 - profile.singlePercent);
    profile.jobTasks = number(document, "load", "job-tasks", 20, 2, mostTasks);
    profile.largeTasks = number(document, "load", "large-tasks", mostTasks, 1, mostTasks);
    profile.runLeastMs = number(document, "load", "run-least-ms", 50, 1, 3600000);
    profile.runMostMs = number(document, "load", "run-most-ms", 1000, profile.runLeastMs, 3600000);
    profile.longPermille = number(document, "load", "long-permille", 0, 0, 1000);
    profile.longMs = number(document, "load", "long-ms", 3000, 1, 3600000);
    profile.wrongPercent = number(document, "load", "wrong-percent", 0, 0, 100);
    profile.cancelPercent = number(document, "load", "cancel-percent", 0, 0, 100);
    profile.fault = document.choiceOr("load", "fault", { "none", "fail", "kill-agent", "kill-entry", "kill-state" }, "none");
    return profile;
}

std::vector<Job> makeJobs(const Profile& profile)
{
    std::mt19937_64 random(profile.seed);
    const double capacity = static_cast<double>(profile.workers) * profile.slots;
    const double jobsPerSecond
        = capacity * profile.utilisationPercent / percent / (meanTasks(profile) * meanRunMs(profile) / 1000);
    std::exponential_distribution<double> gap(jobsPerSecond);
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<uint32_t> tasks(2, profile.jobTasks);
    std::uniform_int_distribution<uint32_t> run(profile.runLeastMs, profile.runMostMs);
    std::vector<Job> jobs;
    double seconds = 0;
    while (true) {
        seconds += gap(random);
        Job job;
        job.arrival = Duration(static_cast<int64_t>(seconds * 1e6));
        if (job.arrival >= profile.warmUp + profile.length)
            return jobs;
        job.id = "job-" + std::to_string(profile.seed) + "-" + std::to_string(jobs.size());
        job.measured = job.arrival >= profile.warmUp;
        const double kind = share(random) * percent;
        uint32_t n = tasks(random);
        if (kind < profile.singlePercent)
            n = 1;
        else if (kind < profile.singlePercent + profile.largePercent)
            n = profile.largeTasks;
        for (uint32_t i = 0; i < n; ++i) {
            const bool isLong = share(random) * permille < profile.longPermille;
            job.runs.push_back(std::chrono::milliseconds(isLong ? profile.longMs : run(random)));
        }
        job.cancelled = share(random) * percent < profile.cancelPercent;
        jobs.push_back(std::move(job));
    }
}

} // namespace fescuegw::load
