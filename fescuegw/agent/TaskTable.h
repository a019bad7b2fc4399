// The tasks that an agent has started, and the rules by which it accepts dispatches.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <dispatch.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::agent {

// Identifies a task independently of its attempt number.
struct TaskId {
    SubmissionKey submission;
    uint32_t index = 0;

    friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// A task that the upstream reports as running, and the agent incarnation that started it.
struct UpstreamTask {
    TaskId task;
    uint64_t incarnation = 0;

    friend bool operator==(const UpstreamTask&, const UpstreamTask&) = default;
};

// The actions that follow from one message of an owner.
struct Decision {
    std::vector<wire::TaskDispatch> starts;
    std::vector<wire::TaskResult> refusals;
    std::vector<TaskId> stops;
    // The owner requested the held tasks. The reply is sent after the rest of the message has been applied.
    bool collect = false;
    // The message is stale: it is for another incarnation, from a superseded owner, or arrived after a later message.
    bool ignored = false;
};

// What the upstream announced: its service, its slots, and whether it accepts tasks.
struct Capacity {
    std::string service;
    uint32_t slots = 0;
    bool serving = false;

    friend bool operator==(const Capacity&, const Capacity&) = default;
};

// Decides whether a task is started. The check is made on the agent, whatever the sender's view: dispatches of an older epoch,
// for another incarnation, after their latest start time, or of a task that was started before are refused.
// Not thread-safe: used only on the agent's link thread.
class TaskTable {
public:
    explicit TaskTable(uint64_t incarnation);

    // Applies a message and records the tasks that it starts. `clockUs` is the agent's own clock, in microseconds.
    Decision decide(uint64_t clockUs, const wire::EntryToAgent&, const Capacity&);

    // Updates the table with the tasks that the upstream reports as running.
    void onUpstreamTasks(const std::vector<UpstreamTask>&);

    // Returns the number of slots in use by tasks that this incarnation does not wait for: started by an earlier incarnation,
    // or ended here without a response from the upstream and not yet known to have stopped.
    uint32_t foreignRunning() const { return m_orphanedCount + static_cast<uint32_t>(m_unconfirmedStops.size()); }

    // Records the end of a started attempt and returns the result to send, which is empty for an unknown task. A result of a
    // durable submission is kept until the owner releases it, unless the task was not run.
    wire::TaskResult finish(
        const TaskId&, bool succeeded, Verdict, const std::string& reason, std::string output, uint64_t runUs);

    // Returns the running tasks and the results that are kept for the owner.
    wire::HeldTasks held() const;

    uint64_t epoch() const { return m_epoch; }
    uint64_t sequence() const { return m_sequence; }
    uint32_t running() const { return m_running; }
    uint32_t unreleased() const { return static_cast<uint32_t>(m_tasks.size()) - m_running; }
    bool knows(const TaskId& id) const { return m_tasks.contains(id); }

private:
    struct StartedTask {
        wire::TaskResult result;
        bool running = true;
    };

    bool updateFence(const wire::EntryToAgent&);
    std::string refusalReason(uint64_t clockUs, const wire::TaskDispatch&, const wire::EntryToAgent&, const Capacity&) const;

    uint64_t m_incarnation;
    std::string m_service;
    uint64_t m_epoch = 0;
    uint64_t m_sequence = 0;
    uint32_t m_running = 0;
    uint32_t m_orphanedCount = 0;
    std::set<TaskId> m_unconfirmedStops;
    std::map<TaskId, StartedTask> m_tasks;
};

} // namespace fescuegw::agent
