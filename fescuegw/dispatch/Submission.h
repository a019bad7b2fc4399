// A submission and its tasks: the state machine by which tasks start, end and form one outcome.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include <registry.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::dispatch {

// A caller's request. `tasks` is sorted by index, and the indexes are distinct.
struct SubmissionSpec {
    SubmissionKey key;
    std::string service;
    std::string digest;
    std::vector<wire::TaskInput> tasks;
    std::string traceparent;
    // A durable submission is claimed in the replicated state, and each of its tasks starts at most once. A submission that is
    // not durable is a repeatable request.
    bool durable = true;
    // Time after which the caller no longer needs the answer; 0 means no limit.
    Duration deadline { 0 };
};

// One dispatch of a task to an agent.
struct Attempt {
    uint32_t number = 0;
    AgentId agent;
    TimePoint dispatched;
};

enum class TaskState : uint8_t {
    // Not started; may be dispatched.
    Queued,
    Dispatched,
    Succeeded,
    Failed,
    // Recovered from another owner; not yet known whether it was started.
    Unresolved,
};

enum class Phase : uint8_t {
    Claiming,
    Running,
    // All tasks have ended and the outcome is being committed.
    Finishing,
};

// State of one submission. Tasks are addressed by their position in index order. Not thread-safe.
class Submission {
public:
    // Creates a new submission with all tasks queued.
    Submission(TimePoint now, SubmissionSpec);

    // Creates a submission recovered from another owner: all tasks are unresolved and may have started on any of `agents`.
    Submission(TimePoint now, const wire::Claim&, std::set<AgentId> agents);

    const SubmissionKey& key() const { return m_spec.key; }
    const SubmissionSpec& spec() const { return m_spec; }
    TimePoint submitted() const { return m_submitted; }
    Phase phase() const { return m_phase; }
    void setPhase(Phase phase) { m_phase = phase; }

    // Returns the position of the task with `index`, or -1 if there is none.
    int position(uint32_t index) const;
    TaskState state(int position) const { return m_tasks[static_cast<size_t>(position)].state; }
    const std::vector<Attempt>& attempts(int position) const { return m_tasks[static_cast<size_t>(position)].attempts; }
    const wire::TaskInput& input(int position) const { return m_spec.tasks[static_cast<size_t>(position)]; }

    bool hasQueued() const { return !m_queued.empty(); }
    size_t queuedCount() const { return m_queued.size(); }
    size_t unsettledCount() const { return m_tasks.size() - m_settled; }
    // Returns the position of the task to dispatch next. Requires hasQueued().
    int nextQueued() const { return m_queued.front(); }

    // Records the dispatch of a task to `agent` and returns the attempt number. The task must be queued; the task of a
    // repeatable request may also be dispatched already (a hedge).
    uint32_t beginAttempt(TimePoint now, int position, const AgentId& agent);

    // Records an attempt by an earlier owner, as reported by `agent`. Returns false if the task is not unresolved.
    bool adoptAttempt(TimePoint now, int position, const AgentId& agent, uint32_t number);

    // Ends an attempt that provably did not start. The task is queued again unless another attempt of it is outstanding.
    // Returns whether it was queued.
    bool endNotRun(int position, uint32_t attempt);

    // Ends an attempt with `output`. Returns false without effect if the attempt is not outstanding.
    bool succeed(int position, uint32_t attempt, std::string output);

    // Ends an attempt without output. With `retry`, a repeatable task is queued again, unless too many of its attempts had no
    // answer. Returns false without effect if the attempt is not outstanding.
    bool fail(int position, uint32_t attempt, Verdict verdict, const std::string& reason, bool retry);

    // Resolves the tasks that are still unresolved: queued if `startable`, else failed with MayHaveRun.
    void resolve(bool startable, const std::string& reason);

    // Fails every task that has not ended: with NotRun if it is queued and no attempt of it may have started, otherwise with
    // MayHaveRun.
    void abandon(const std::string& reason);

    bool settled() const { return m_settled == m_tasks.size(); }
    bool failed() const { return m_failed; }

    // Returns the outcome. Requires settled(). A complete outcome has the output of every task; a failed one has none.
    wire::Outcome outcome() const;

    // Returns every agent that may have started a task of this submission.
    const std::set<AgentId>& agents() const { return m_agents; }

private:
    struct Task {
        TaskState state = TaskState::Queued;
        std::vector<Attempt> attempts;
        uint32_t nextAttempt = 1;
        // An attempt ended without proof that it did not start.
        bool mayHaveRun = false;
        // Attempts without an answer: the upstream may have crashed under each.
        uint32_t unclearEnds = 0;
        Verdict verdict = Verdict::NotRun;
        std::string reason;
        std::string output;
    };

    Task& task(int position) { return m_tasks[static_cast<size_t>(position)]; }
    bool removeAttempt(Task&, uint32_t attempt);
    void settle(Task&, TaskState state, Verdict verdict, const std::string& reason);

    SubmissionSpec m_spec;
    TimePoint m_submitted;
    Phase m_phase = Phase::Claiming;
    std::vector<Task> m_tasks;
    std::deque<int> m_queued;
    std::set<AgentId> m_agents;
    size_t m_settled = 0;
    bool m_failed = false;
    std::string m_reason;
};

} // namespace fescuegw::dispatch
