// An upstream as the owner of its service sees it, through the agent beside it: slots, sizes, lease and health.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include <dispatch.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::dispatch {

// Names one attempt of one task.
struct AttemptRef {
    SubmissionKey key;
    uint32_t index = 0;
    uint32_t attempt = 0;

    friend auto operator<=>(const AttemptRef&, const AttemptRef&) = default;
};

// What one attempt takes up on a worker.
struct Size {
    uint32_t coresMilli = 0;
    uint32_t memoryMb = 0;

    friend bool operator==(const Size&, const Size&) = default;
};

struct UpstreamOptions {
    // An agent that is silent for this long is lost.
    Duration lease { std::chrono::milliseconds(3000) };
    // How long after sending an agent may still start a task.
    Duration startWindow { std::chrono::milliseconds(2000) };
    // Consecutive failures that take an upstream out, and for how long the first time and at the most.
    uint32_t failuresToEject = 3;
    Duration ejection { std::chrono::milliseconds(1000) };
    Duration ejectionMost { std::chrono::seconds(30) };
    // Pause after an agent refused a task.
    Duration refusalPause { std::chrono::milliseconds(50) };
};

// The aggregate of one agent incarnation. It takes work only once it is enrolled in the replicated state and has told what it
// holds under the owner's epoch. Not thread-safe.
class Upstream {
public:
    Upstream(TimePoint now, AgentId, UpstreamOptions);

    const AgentId& agent() const { return m_agent; }
    const wire::AgentReport& report() const { return m_report; }

    // Takes over a report. Returns whether the agent must be asked what it holds, since its account and ours differ. With
    // `unsent`, some occupations belong to messages that have not been sent yet, and the accounts can't be compared.
    bool onReport(TimePoint now, const wire::AgentReport&, bool unsent);
    void onContact(TimePoint now) { m_contact = now; }

    void setEnrolled() { m_enrolled = true; }
    bool enrolled() const { return m_enrolled; }

    // The agent was asked what it holds in the message with `sequence`; until it answers it takes no work.
    void setCollecting(TimePoint now, uint64_t sequence);
    bool collecting() const { return m_collecting; }
    // Returns whether the answer with `sequence` is the one that is awaited.
    bool onHeld(uint64_t sequence);

    bool ready() const;
    bool isLost(TimePoint now) const { return now - m_contact > m_options.lease; }
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    bool onProbation() const { return m_probation; }

    // Returns the number of attempts that may be added now.
    uint32_t freeSlots(TimePoint now) const;
    bool fits(TimePoint now, const Size&) const;
    // Returns whether an idle worker could take `size`.
    bool couldFit(const Size&) const;

    void occupy(const AttemptRef&, const Size&);
    // Returns false when the attempt did not occupy a slot.
    bool vacate(const AttemptRef&);
    const std::map<AttemptRef, Size>& occupations() const { return m_occupations; }
    void clearOccupations();

    void onSuccess();
    // Returns whether this failure ejects the upstream.
    bool onFailure(TimePoint now);
    void onRefusal(TimePoint now) { m_pausedUntil = now + m_options.refusalPause; }

    // Returns the latest start on the agent's own clock for a task sent now. The agent's clock is at least what it reported
    // plus the time since, so the bound errs on the early side.
    uint64_t startBy(TimePoint now) const;

    uint64_t nextSequence() { return ++m_sequence; }
    uint64_t sequence() const { return m_sequence; }
    // Messages from now on have numbers above `sequence`.
    void continueAfter(uint64_t sequence) { m_sequence = std::max(m_sequence, sequence); }

private:
    AgentId m_agent;
    UpstreamOptions m_options;
    wire::AgentReport m_report;
    TimePoint m_reported;
    TimePoint m_contact;
    bool m_enrolled = false;
    bool m_collecting = true;
    uint64_t m_collectSequence = 0;
    TimePoint m_collectSent;
    uint64_t m_sequence = 0;
    // What had been sent when the previous report came.
    uint64_t m_sequenceAtReport = 0;
    std::map<AttemptRef, Size> m_occupations;
    Size m_used;
    uint32_t m_failures = 0;
    uint32_t m_ejections = 0;
    bool m_probation = false;
    TimePoint m_ejectedUntil;
    TimePoint m_pausedUntil;
};

} // namespace fescuegw::dispatch
