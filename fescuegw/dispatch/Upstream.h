// The service owner's model of an upstream, as reported by the agent on its host: slots, resources, lease and health.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include <dispatch.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::dispatch {

// Identifies one attempt of one task.
struct AttemptRef {
    SubmissionKey key;
    uint32_t index = 0;
    uint32_t attempt = 0;

    friend auto operator<=>(const AttemptRef&, const AttemptRef&) = default;
};

// Resources that one attempt uses on a worker.
struct TaskResources {
    uint32_t coresMilli = 0;
    uint32_t memoryMb = 0;

    friend bool operator==(const TaskResources&, const TaskResources&) = default;
};

struct UpstreamOptions {
    // An agent is considered lost when nothing has been received from it for longer than this.
    Duration lease { std::chrono::milliseconds(3000) };
    // How long after dispatch an agent may still start a task.
    Duration startWindow { std::chrono::milliseconds(2000) };
    // Consecutive failures that eject an upstream, and the first and the longest ejection time.
    uint32_t failureThreshold = 3;
    Duration initialEjectionTime { std::chrono::milliseconds(1000) };
    Duration maxEjectionTime { std::chrono::seconds(30) };
    // Back-off after an agent has refused a task.
    Duration refusalBackoff { std::chrono::milliseconds(50) };
};

// State of one agent incarnation. Tasks are dispatched to it only once it is enrolled in the replicated state and has listed the
// tasks it holds, for the owner's epoch. Not thread-safe.
class Upstream {
public:
    Upstream(TimePoint now, AgentId, UpstreamOptions);

    const AgentId& agent() const { return m_agent; }
    const wire::AgentReport& report() const { return m_report; }

    // Applies a report. Returns whether the agent must be queried for the tasks it holds, because its count and ours differ.
    // With `hasUnsent`, some allocations belong to messages that have not been sent yet, so the counts cannot be compared.
    bool onReport(TimePoint now, const wire::AgentReport&, bool hasUnsent);
    void onContact(TimePoint now) { m_lastContact = now; }

    void setEnrolled() { m_enrolled = true; }
    bool enrolled() const { return m_enrolled; }

    // Records that the message with `sequence` asked the agent for the tasks it holds; 0 if it is still to be asked. No task is
    // dispatched until it answers.
    void setCollecting(TimePoint now, uint64_t sequence);
    bool collecting() const { return m_collecting; }
    // Ends the query if `sequence` is that of the outstanding one. Returns whether it is.
    bool onHeld(uint64_t sequence);

    bool ready() const;
    bool isLost(TimePoint now) const { return now - m_lastContact > m_options.lease; }
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    bool onProbation() const { return m_probation; }

    // Returns the number of attempts that may be dispatched now.
    uint32_t freeSlots(TimePoint now) const;
    bool fits(TimePoint now, const TaskResources&) const;
    // Returns whether `resources` would fit on the worker if it were idle.
    bool fitsWhenIdle(const TaskResources&) const;

    void allocate(const AttemptRef&, const TaskResources&);
    // Returns false if the attempt held no slot.
    bool deallocate(const AttemptRef&);
    const std::map<AttemptRef, TaskResources>& allocations() const { return m_allocations; }
    void clearAllocations();

    void onSuccess();
    // Returns whether this failure ejects the upstream.
    bool onFailure(TimePoint now);
    void onRefusal(TimePoint now) { m_backoffUntil = now + m_options.refusalBackoff; }

    // Returns the latest start time, in microseconds of the agent's clock, for a task sent now. The agent's clock is at least
    // its reported value plus the time since the report, so the bound errs on the early side.
    uint64_t startBy(TimePoint now) const;

    uint64_t nextSequence() { return ++m_sequence; }
    uint64_t sequence() const { return m_sequence; }
    // Makes the sequence numbers of all further messages greater than `sequence`.
    void advanceSequence(uint64_t sequence) { m_sequence = std::max(m_sequence, sequence); }

private:
    AgentId m_agent;
    UpstreamOptions m_options;
    wire::AgentReport m_report;
    TimePoint m_reportTime;
    TimePoint m_lastContact;
    bool m_enrolled = false;
    bool m_collecting = true;
    uint64_t m_collectSequence = 0;
    TimePoint m_collectSentAt;
    uint64_t m_sequence = 0;
    // The last sequence number sent before the previous report arrived.
    uint64_t m_sequenceAtReport = 0;
    std::map<AttemptRef, TaskResources> m_allocations;
    TaskResources m_used;
    uint32_t m_failures = 0;
    uint32_t m_ejections = 0;
    bool m_probation = false;
    TimePoint m_ejectedUntil;
    TimePoint m_backoffUntil;
};

} // namespace fescuegw::dispatch
