// Plays one case of the review: standin-3 CASE PROGRAMS FOLDER RECORD. TROUBLE=0 plays it without the disruption.
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "Cluster.h"

namespace {

using namespace review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

struct Case {
    std::string programs;
    std::string folder;
    bool trouble = true;
};

int verdict(Record& record, bool broken, const std::string& reason)
{
    record.write((broken ? "BROKEN: " : "held: ") + reason);
    std::cout << (broken ? "BROKEN: " : "held: ") << reason << '\n';
    return broken ? exitBroken : exitHeld;
}

// Three jobs have a second step without a count. Their callers send them again, to the next entry, while they get no response.
int playEmptyStep(const Case& options, Record& record)
{
    constexpr size_t jobs = 3;
    constexpr size_t mostAttempts = 3;
    constexpr size_t ordinaryJobs = 20;
    constexpr size_t endsOfOneMachine = 3;
    constexpr size_t machines = 2;
    constexpr int64_t retransmitMs = 1300;
    constexpr int64_t besideMs = 100;
    constexpr int64_t pollMs = 100;
    ClusterOptions clusterOptions;
    clusterOptions.programs = options.programs;
    clusterOptions.folder = options.folder;
    Cluster cluster(clusterOptions, record);
    if (!cluster.start())
        return exitNotRun;
    const std::string first = R"({"count":2,"cpu":1000,"memoryRequestMb":64,"estimatedRuntimeMs":20})";
    const std::string count = options.trouble ? "" : R"("count":1,)";
    const std::string second = "{" + count + R"("cpu":1000,"memoryRequestMb":64,"estimatedRuntimeMs":20,"after":[0]})";
    std::string twoSteps = "[" + first;
    twoSteps.append(",").append(second).append("]");
    std::map<std::string, size_t> ends;
    size_t unanswered = 0;
    for (size_t job = 0; job < jobs; ++job) {
        const std::string id = Cluster::newId();
        for (size_t attempt = 0; attempt < mostAttempts; ++attempt) {
            const size_t entry = attempt % cluster.entries();
            for (size_t n = 0; n < ordinaryJobs; ++n)
                cluster.submit(entry, Cluster::newId(), "ordinary 20", "[" + first + "]");
            // Another caller's job is at work there.
            Reply beside;
            std::thread other([&] {
                beside = cluster.submit(entry, Cluster::newId(), "other 300",
                    R"([{"count":2,"cpu":1000,"memoryRequestMb":64,"estimatedRuntimeMs":300}])");
            });
            sleepMs(besideMs);
            const Reply reply = cluster.submit(entry, id, "work 20", twoSteps);
            other.join();
            unanswered += beside.status == 0 ? 1 : 0;
            const int64_t again = nowMs() + retransmitMs;
            while (nowMs() < again) {
                for (const auto& it : cluster.restartEnded())
                    ++ends[it];
                sleepMs(pollMs);
            }
            if (reply.status != 0)
                break;
        }
    }
    const auto several = std::count_if(ends.begin(), ends.end(), [=](const auto& it) { return it.second >= endsOfOneMachine; });
    return verdict(record, static_cast<size_t>(several) >= machines,
        std::to_string(several) + " machines have had processes that ended by themselves three times; "
            + std::to_string(unanswered) + " jobs beside them got no answer");
}

// A crowd hands in jobs of 840 small tasks with specifications of 4,000 bytes. Each caller waits for its answer, sends a job
// again while it gets none, and leaves the Retry-After time after a refusal.
int playWideJobs(const Case& options, Record& record)
{
    constexpr size_t crowd = 120;
    constexpr size_t tasks = 840;
    constexpr size_t specificationBytes = 4000;
    constexpr size_t endsOfOneMachine = 3;
    constexpr size_t machines = 2;
    constexpr int64_t lengthMs = 60000;
    constexpr int64_t retransmitMs = 1300;
    constexpr int64_t afterAnswerMs = 500;
    constexpr int64_t afterRefusalMs = 2000;
    constexpr int64_t betweenOrdinaryMs = 200;
    constexpr int64_t pollMs = 20;
    constexpr int statusOk = 200;
    ClusterOptions clusterOptions;
    clusterOptions.programs = options.programs;
    clusterOptions.folder = options.folder;
    clusterOptions.recordsRuns = false;
    Cluster cluster(clusterOptions, record);
    if (!cluster.start())
        return exitNotRun;
    const std::string work = " 500";
    const std::string specification = std::string(specificationBytes - work.size(), 'x') + work;
    const std::string steps = R"([{"count":)" + std::to_string(options.trouble ? tasks : 2)
        + R"(,"cpu":10,"memoryRequestMb":1,"estimatedRuntimeMs":500}])";
    const int64_t until = nowMs() + lengthMs;
    std::vector<std::thread> callers;
    for (size_t i = 0; i < crowd; ++i)
        callers.emplace_back([&, i] {
            size_t entry = i % cluster.entries();
            std::string id = Cluster::newId();
            while (nowMs() < until) {
                const Reply reply = cluster.submit(entry, id, specification, steps);
                if (reply.status != 0) {
                    id = Cluster::newId();
                    sleepMs(reply.status == statusOk ? afterAnswerMs : afterRefusalMs);
                    continue;
                }
                entry = (entry + 1) % cluster.entries();
                sleepMs(retransmitMs);
            }
        });
    std::atomic<size_t> ordinary { 0 };
    std::atomic<size_t> unanswered { 0 };
    callers.emplace_back([&] {
        for (size_t n = 0; nowMs() < until; ++n) {
            const Reply reply = cluster.submit(n % cluster.entries(), Cluster::newId(), "ordinary 20",
                R"([{"count":2,"cpu":1000,"memoryRequestMb":64,"estimatedRuntimeMs":20}])");
            ++ordinary;
            unanswered += reply.status == 0 ? 1 : 0;
            sleepMs(betweenOrdinaryMs);
        }
    });
    std::map<std::string, size_t> ends;
    while (nowMs() < until) {
        cluster.endOversized();
        for (const auto& it : cluster.restartEnded())
            ++ends[it];
        sleepMs(pollMs);
    }
    for (auto& it : callers)
        it.join();
    for (const auto& it : ends)
        record.write(it.first + " has ended " + std::to_string(it.second) + " times");
    const auto several = std::count_if(ends.begin(), ends.end(), [=](const auto& it) { return it.second >= endsOfOneMachine; });
    return verdict(record, static_cast<size_t>(several) >= machines,
        std::to_string(several) + " machines have had processes that ended three times; peaks: entry "
            + std::to_string(cluster.peakMb("entry")) + " MB, agent " + std::to_string(cluster.peakMb("agent")) + " MB; "
            + std::to_string(unanswered) + " of " + std::to_string(ordinary) + " ordinary jobs got no answer");
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() != 4)
        return exitNotRun;
    const char* trouble = std::getenv("TROUBLE");
    const Case options { arguments[1], arguments[2], trouble == nullptr || std::string(trouble) != "0" };
    Record record(arguments[3]);
    if (arguments[0] == "empty-step")
        return playEmptyStep(options, record);
    if (arguments[0] == "wide-jobs")
        return playWideJobs(options, record);
    return exitNotRun;
}
