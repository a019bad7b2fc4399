// Plays one case of the review: standin-3 CASE PROGRAMS FOLDER RECORD. TROUBLE=0 plays it without the disruption.
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
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

// Jobs require kind "b" while workers crash and are back as ones of another kind.
int playOtherKind(const Case& options, Record& record)
{
    constexpr int64_t lengthMs = 60000;
    constexpr int64_t downMs = 100;
    constexpr int64_t betweenCrashesMs = 1000;
    constexpr int64_t betweenJobsMs = 200;
    constexpr size_t callersOfOneEntry = 4;
    constexpr size_t workers = 24;
    // Of these, every other one is of kind "b" at first, and so is every other one that comes back.
    constexpr size_t changing = 6;
    ClusterOptions clusterOptions;
    clusterOptions.programs = options.programs;
    clusterOptions.folder = options.folder;
    clusterOptions.agents = workers;
    clusterOptions.kindOf = [](size_t index) { return std::string(index < changing && index % 2 == 0 ? "b" : "a"); };
    Cluster cluster(clusterOptions, record);
    std::mutex mutex;
    std::set<std::string> requiring;
    std::atomic<size_t> wrong { 0 };
    std::atomic<size_t> right { 0 };
    cluster.onStart = [&](size_t /*worker*/, const std::string& task, uint64_t run, const std::string& kind) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!requiring.contains(task.substr(0, task.find('.'))))
            return;
        ++(kind == "b" ? right : wrong);
        if (kind != "b")
            record.write("ROUTE: " + task + " run " + std::to_string(run) + " requires b, the worker is of kind " + kind);
    };
    if (!cluster.start())
        return exitNotRun;
    const int64_t until = nowMs() + lengthMs;
    std::vector<std::thread> callers;
    for (size_t n = 0; n < callersOfOneEntry * cluster.entries(); ++n)
        callers.emplace_back([&, n] {
            const size_t entry = n % cluster.entries();
            while (nowMs() < until) {
                const std::string id = Cluster::newId();
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    requiring.insert(id);
                }
                cluster.submit(entry, id, "work 30",
                    R"([{"count":1,"cpu":1000,"memoryRequestMb":64,"estimatedRuntimeMs":30,"requirements":"b"}])");
                sleepMs(betweenJobsMs);
            }
        });
    for (size_t n = 0; nowMs() < until - betweenCrashesMs; ++n) {
        sleepMs(betweenCrashesMs);
        if (!options.trouble)
            continue;
        Worker& worker = cluster.worker(n % changing);
        const std::string next = worker.kind() == "a" ? "b" : "a";
        worker.crash();
        sleepMs(downMs);
        if (!worker.start(next))
            break;
    }
    for (auto& it : callers)
        it.join();
    return verdict(
        record, wrong > 0, std::to_string(wrong) + " starts without the required label, " + std::to_string(right) + " with it");
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

// Of 18 jobs of ten steps, one after the other, 6 are cancelled on a connection that the platform forwards to another entry.
int playCancelElsewhere(const Case& options, Record& record)
{
    constexpr size_t jobs = 18;
    constexpr size_t cancelledJobs = 6;
    constexpr size_t steps = 10;
    constexpr int64_t patienceMs = 10000;
    constexpr int64_t cancelAfterMs = 700;
    constexpr int64_t cancelMs = 3000;
    constexpr int statusOk = 200;
    constexpr int statusGone = 410;
    ClusterOptions clusterOptions;
    clusterOptions.programs = options.programs;
    clusterOptions.folder = options.folder;
    clusterOptions.patienceMs = patienceMs;
    Cluster cluster(clusterOptions, record);
    std::mutex mutex;
    std::map<std::string, int64_t> cancelledAt;
    std::atomic<size_t> late { 0 };
    cluster.onStart = [&](size_t /*worker*/, const std::string& task, uint64_t run, const std::string& /*kind*/) {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto it = cancelledAt.find(task.substr(0, task.find('.')));
        if (it == cancelledAt.end() || nowMs() - it->second <= cancelMs)
            return;
        ++late;
        record.write("UNASKED: " + task + " run " + std::to_string(run) + " starts " + std::to_string(nowMs() - it->second)
            + " ms after the cancelling was acknowledged");
    };
    if (!cluster.start())
        return exitNotRun;
    std::string list;
    for (size_t i = 0; i < steps; ++i)
        list.append(i == 0 ? "[" : ",")
            .append(R"({"count":1,"cpu":1000,"memoryRequestMb":64,"estimatedRuntimeMs":600)")
            .append(i == 0 ? "" : R"(,"after":[)" + std::to_string(i - 1) + "]")
            .append("}");
    list += "]";
    std::vector<std::thread> callers;
    for (size_t job = 0; job < jobs; ++job)
        callers.emplace_back([&, job] {
            const size_t entry = job % cluster.entries();
            const std::string id = Cluster::newId();
            std::thread caller([&] { cluster.submit(entry, id, "work 600", list); });
            sleepMs(cancelAfterMs);
            if (job >= cancelledJobs) {
                caller.join();
                return;
            }
            const Reply reply = cluster.cancel(options.trouble ? (entry + 1) % cluster.entries() : entry, id);
            if (reply.status == statusOk || reply.status == statusGone) {
                const std::lock_guard<std::mutex> lock(mutex);
                cancelledAt[id] = nowMs();
            }
            caller.join();
        });
    for (auto& it : callers)
        it.join();
    return verdict(
        record, late > 0, std::to_string(late) + " tasks started over 3 s after the cancelling of their job was acknowledged");
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
    if (arguments[0] == "other-kind")
        return playOtherKind(options, record);
    if (arguments[0] == "cancel-elsewhere")
        return playCancelElsewhere(options, record);
    if (arguments[0] == "wide-jobs")
        return playWideJobs(options, record);
    return exitNotRun;
}
