// What callers and upstreams saw during a soak, and the promises that it must keep.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::soak {

// How a caller's try to have a job done ended.
enum class CallEnd : uint8_t {
    Completed,
    // The answer says that the job was run and failed.
    Failed,
    // The answer says that the job has not run.
    Rejected,
    // No answer, a part of one, or one that says that the job may have run.
    Unclear,
};

enum class RunOutcome : uint8_t {
    Done,
    Failed,
    // Stopped, lapsed or lost with its upstream.
    Broken,
};

struct Violation {
    std::string promise;
    std::string detail;
};

struct LedgerOptions {
    // Runs of a task that may fail before its job may be called failed.
    uint32_t attempts = 2;
    // From the acknowledgement that an upstream leaves until nothing may be started there any more.
    Duration drainLimit { std::chrono::milliseconds(2000) };
};

// Judges by what is seen from outside only. Thread-safe.
class Ledger {
public:
    explicit Ledger(LedgerOptions options = {})
        : m_options(options)
    {
    }

    void onSubmitted(const std::string& job, size_t tasks, const std::string& specification);
    void onAnswered(const std::string& job, CallEnd);

    // A life of an upstream begins: nothing runs there.
    void onUpstreamStarted(const std::string& upstream, const Resources& capacity);
    void onLeavingAcknowledged(TimePoint now, const std::string& upstream);
    // `prompt`: the order was not held up on its way.
    void onRunStarted(TimePoint now, const std::string& upstream, const StepTask&, uint64_t run, const Resources& need,
        const std::string& specification, bool prompt);
    void onRunEnded(const std::string& upstream, const StepTask&, uint64_t run, RunOutcome);

    // Checks what only holds once all callers have ended and a second has passed.
    void checkAtEnd();

    // A check of the caller's own has failed.
    void report(const std::string& promise, const std::string& detail);

    std::vector<Violation> violations() const;
    std::map<CallEnd, size_t> answers() const;
    size_t starts() const;
    bool hasStarted(const std::string& job) const;

private:
    struct Job {
        size_t tasks = 0;
        std::string specification;
        std::map<CallEnd, size_t> ends;
        size_t starts = 0;
        std::set<uint32_t> done;
        std::map<uint32_t, uint32_t> failures;
    };

    struct Run {
        StepTask task;
        uint64_t number = 0;
        Resources need;
    };

    struct Upstream {
        Resources free;
        std::vector<Run> runs;
        bool leaving = false;
        TimePoint leavingSince;
    };

    void add(const std::string& promise, const std::string& detail);

    LedgerOptions m_options;
    mutable std::mutex m_mutex;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Upstream> m_upstreams;
    size_t m_starts = 0;
    std::vector<Violation> m_violations;
};

// Whether readers of a configuration see what was acknowledged. Thread-safe.
class VersionLedger {
public:
    explicit VersionLedger(Duration applyLimit)
        : m_applyLimit(applyLimit)
    {
    }

    void onAcknowledged(TimePoint now, uint64_t version);
    uint64_t acknowledged() const;
    // Returns what is wrong with a reading that was sent at `sent`, or "".
    std::string faultOf(TimePoint sent, uint64_t version) const;

private:
    Duration m_applyLimit;
    mutable std::mutex m_mutex;
    std::map<uint64_t, TimePoint> m_acknowledged;
};

} // namespace fescuegw::soak
