// A submission and its tasks: the rules by which tasks start, end and make up one answer.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include <registry.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::dispatch {

// What a caller asks for. `tasks` are sorted by index and have distinct indexes.
struct SubmissionSpec {
    SubmissionKey key;
    std::string service;
    std::string digest;
    std::vector<wire::TaskInput> tasks;
    std::string traceparent;
    // A durable submission is claimed in the replicated state and each of its tasks starts at most once. One that is not
    // durable is a repeatable request.
    bool durable = true;
    // After this its answer is of no use; 0 for no limit.
    Duration deadline { 0 };
};

// One sending of a task to an agent.
struct Attempt {
    uint32_t number = 0;
    AgentId agent;
    TimePoint dispatched;
};

enum class TaskState : uint8_t {
    // Not started, and may be started.
    Queued,
    Dispatched,
    Succeeded,
    Failed,
    // Taken over from another owner; whether it was started is not known yet.
    Unresolved,
};

enum class Phase : uint8_t {
    Claiming,
    Running,
    // All tasks have ended and the outcome is being made durable.
    Finishing,
};

// The aggregate of one submission. Its tasks are addressed by position in index order. Not thread-safe.
class Submission {
public:
    // A new submission, whose tasks are queued.
    Submission(TimePoint now, SubmissionSpec);

    // A submission taken over from another owner: all tasks are unresolved and may have been on any of `agents`.
    Submission(TimePoint now, const wire::Claim&, std::set<AgentId> agents);

    const SubmissionKey& key() const { return m_spec.key; }
    const SubmissionSpec& spec() const { return m_spec; }
    TimePoint submitted() const { return m_submitted; }
    Phase phase() const { return m_phase; }
    void setPhase(Phase phase) { m_phase = phase; }

    // Returns the position of the task with `index`, or -1.
    int position(uint32_t index) const;
    TaskState state(int position) const { return m_tasks[static_cast<size_t>(position)].state; }
    const std::vector<Attempt>& attempts(int position) const { return m_tasks[static_cast<size_t>(position)].attempts; }
    const wire::TaskInput& input(int position) const { return m_spec.tasks[static_cast<size_t>(position)]; }

    bool hasQueued() const { return !m_queued.empty(); }
    size_t queuedCount() const { return m_queued.size(); }
    size_t unsettledCount() const { return m_tasks.size() - m_settled; }
    // Returns the position of the task to start next. Requires hasQueued().
    int nextQueued() const { return m_queued.front(); }

    // Records that a queued task is sent to `agent`, and returns the attempt's number. A task of a durable submission must be
    // queued; a repeatable one may also be dispatched already (a hedge).
    uint32_t beginAttempt(TimePoint now, int position, const AgentId& agent);

    // Adopts an attempt of an earlier owner that an agent reports. Returns false when the task is not unresolved.
    bool adoptAttempt(TimePoint now, int position, const AgentId& agent, uint32_t number);

    // The attempt was provably not started. The task is queued again unless another attempt of it is out. Returns whether it
    // was queued.
    bool endNotRun(int position, uint32_t attempt);

    // The attempt ended with `output`. Returns false, and changes nothing, for an attempt that is not out.
    bool succeed(int position, uint32_t attempt, std::string output);

    // The attempt ended without an answer. With `again`, a repeatable task is queued again. Returns false, and changes
    // nothing, for an attempt that is not out.
    bool fail(int position, uint32_t attempt, Verdict verdict, const std::string& reason, bool again);

    // Decides the tasks that are still unresolved: queued when `startable`, else failed with MayHaveRun.
    void resolve(bool startable, const std::string& reason);

    // Ends all tasks that have not: queued ones as NotRun, others as MayHaveRun.
    void abandon(const std::string& reason);

    bool settled() const { return m_settled == m_tasks.size(); }
    bool failed() const { return m_failed; }

    // Returns the answer. Requires settled(). Complete answers have every task's output; failed ones have none.
    wire::Outcome outcome() const;

    // Every agent that may have started a task of this submission.
    const std::set<AgentId>& agents() const { return m_agents; }

private:
    struct Task {
        TaskState state = TaskState::Queued;
        std::vector<Attempt> attempts;
        uint32_t nextAttempt = 1;
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
