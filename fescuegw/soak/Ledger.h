// Records what callers and upstreams observe during a soak test and checks the system's guarantees against it.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::soak {

// The result of a caller's request to run a job.
enum class CallEnd : uint8_t {
    Completed,
    // The reply says that the job ran and failed.
    Failed,
    // The reply says that the job has not run.
    Rejected,
    // No reply, an incomplete reply, or one that says that the job may have run.
    Unclear,
};

enum class RunOutcome : uint8_t {
    Done,
    Failed,
    // Stopped, expired or lost with its upstream.
    Broken,
};

struct Violation {
    std::string promise;
    std::string detail;
};

struct LedgerOptions {
    // Number of failed runs of a task from which its job may be reported as failed.
    uint32_t maxAttempts = 2;
    // Number of upstreams that a task has crashed from which its job may be reported as failed.
    uint32_t maxCrashes = 2;
    // Number of upstreams that a task has crashed from which it must not be started `tooManyStarts` times more.
    uint32_t tooManyCrashes = 3;
    uint32_t tooManyStarts = 3;
    // Time after which a capacity that has shrunk counts: the platform's contact window, and one announcement interval.
    Duration shrinkLimit { std::chrono::milliseconds(3000 + 500) };
    // Time after the acknowledgement of an upstream's leave request from which no run may start there.
    Duration drainLimit { std::chrono::milliseconds(2000) };
    // Time after the acknowledgement of the drain of a failure domain from which no run may start on its upstreams.
    Duration domainDrainLimit { std::chrono::milliseconds(5000) };
};

// Uses only externally visible events. Thread-safe.
class Ledger {
public:
    explicit Ledger(LedgerOptions options = {})
        : m_options(options)
    {
    }

    void onSubmitted(const std::string& job, size_t tasks, const std::string& specification);
    void onAnswered(const std::string& job, CallEnd);

    // Called at the start of each incarnation of an upstream, when no task is running there.
    void onUpstreamStarted(const std::string& upstream, const Resources& capacity);
    // `task` has crashed the upstream; whatever was running there is gone.
    void onUpstreamCrashed(const std::string& upstream, const StepTask& task);
    // The same by chance.
    void onUpstreamCrashed(const std::string& upstream);
    // Called before the first start on an upstream. The name of an upstream's failure domain does not change.
    void onUpstreamDomain(const std::string& upstream, const std::string& domain);
    void onDomainDrainAcknowledged(TimePoint now, const std::string& domain);
    // The order may take effect from now on.
    void onDomainReturnSent(const std::string& domain);
    void onDomainReturnAcknowledged(const std::string& domain);
    void onCapacityChanged(TimePoint now, const std::string& upstream, const Resources& capacity);
    void onLeavingAcknowledged(TimePoint now, const std::string& upstream);
    // `prompt` says whether the start request was delivered without delay.
    void onRunStarted(TimePoint now, const std::string& upstream, const StepTask&, uint64_t run, const Resources& need,
        const std::string& specification, bool prompt);
    void onRunEnded(const std::string& upstream, const StepTask&, uint64_t run, RunOutcome);

    // Checks the guarantees that hold only once all callers have finished and a further second has passed.
    void checkAtEnd();

    // Adds a violation found by a check outside this class.
    void report(const std::string& promise, const std::string& detail);

    std::vector<Violation> violations() const;
    std::map<CallEnd, size_t> answers() const;
    size_t starts() const;
    size_t crashes() const;
    // Returns the starts in domains whose drain was acknowledged, within the time that the drain may take to have effect.
    size_t startsBeforeDrains() const;
    // Returns whether a run has started in every domain since the acknowledgement that it is no longer drained.
    bool allDomainsReturned() const;
    bool hasStarted(const std::string& job) const;
    // Whether a task of the job is running anywhere.
    bool isRunning(const std::string& job) const;

private:
    struct Job {
        size_t tasks = 0;
        std::string specification;
        std::map<CallEnd, size_t> callEnds;
        size_t starts = 0;
        std::set<uint32_t> done;
        std::map<uint32_t, uint32_t> failures;
        std::map<uint32_t, uint32_t> crashes;
        std::map<uint32_t, uint32_t> startsAfterCrashes;
    };

    struct Run {
        StepTask task;
        uint64_t number = 0;
        Resources need;
    };

    struct Upstream {
        // Returns what starts at `now` may fill.
        Resources countedCapacity(TimePoint now, Duration shrinkLimit) const;

        Resources capacity;
        // The largest capacity of the `shrinkLimit` before `changedAt`.
        Resources formerCapacity;
        TimePoint changedAt;
        std::vector<Run> runs;
        bool leaving = false;
        TimePoint leaveAcknowledgedAt;
        std::string domain;
    };

    struct Domain {
        std::optional<TimePoint> drainAcknowledgedAt;
        // Whether a run has to start before the end, since a drain was withdrawn.
        bool awaitsStart = false;
    };

    void addViolation(const std::string& promise, const std::string& detail);

    LedgerOptions m_options;
    mutable std::mutex m_mutex;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Upstream> m_upstreams;
    std::map<std::string, Domain> m_domains;
    size_t m_startsBeforeDrains = 0;
    size_t m_starts = 0;
    size_t m_crashes = 0;
    std::vector<Violation> m_violations;
};

// Checks that readers of a configuration see acknowledged versions within the apply limit. Thread-safe.
class VersionLedger {
public:
    explicit VersionLedger(Duration applyLimit)
        : m_applyLimit(applyLimit)
    {
    }

    void onAcknowledged(TimePoint now, uint64_t version);
    uint64_t acknowledged() const;
    // Returns an error text if a read that was sent at `sent` must not return `version`, otherwise an empty string.
    std::string faultOf(TimePoint sent, uint64_t version) const;

private:
    Duration m_applyLimit;
    mutable std::mutex m_mutex;
    std::map<uint64_t, TimePoint> m_acknowledged;
};

} // namespace fescuegw::soak
