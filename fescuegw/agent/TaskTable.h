// The record of what an agent has started, and the rules by which it accepts work.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <dispatch.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::agent {

// Names a task, whatever its attempt.
struct TaskId {
    SubmissionKey submission;
    uint32_t index = 0;

    friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// A task that the upstream says it runs, and the agent incarnation that started it.
struct UpstreamTask {
    TaskId task;
    uint64_t incarnation = 0;

    friend bool operator==(const UpstreamTask&, const UpstreamTask&) = default;
};

// What the agent decides on one message of an owner.
struct Decision {
    std::vector<wire::TaskDispatch> starts;
    std::vector<wire::TaskResult> refusals;
    std::vector<TaskId> stops;
    // The owner asked for what is held; to be answered after everything else of the message is recorded.
    bool collect = false;
    // The message came from an owner that has been superseded, or was overtaken by a later one.
    bool ignored = false;
};

// The upstream as it announced itself.
struct Capacity {
    std::string service;
    uint32_t slots = 0;
    bool serving = false;

    friend bool operator==(const Capacity&, const Capacity&) = default;
};

// Decides where the start happens: an older epoch, another incarnation, a passed latest start or a task that was started
// before is refused here, whatever the sender believed. Not thread-safe: the agent's link thread owns it.
class TaskTable {
public:
    explicit TaskTable(uint64_t incarnation);

    // Decides on a message and records what it starts. `clockUs` is the agent's own clock.
    Decision decide(uint64_t clockUs, const wire::EntryToAgent&, const Capacity&);

    // Takes over the upstream's own account of what it runs.
    void onUpstreamTasks(const std::vector<UpstreamTask>&);

    // Returns the slots taken by work that this incarnation does not wait for: started by an earlier one, or ended here
    // without an answer and not yet known to have stopped.
    uint32_t foreignRunning() const { return m_foreign + static_cast<uint32_t>(m_uncertain.size()); }

    // Records how a started attempt ended, and returns the result to send. The result is kept until released if the
    // submission is durable.
    wire::TaskResult finish(
        const TaskId&, bool succeeded, Verdict, const std::string& reason, std::string output, uint64_t runUs);

    // Returns everything that is running or kept for the owner.
    wire::HeldTasks held() const;

    uint64_t epoch() const { return m_epoch; }
    uint64_t sequence() const { return m_sequence; }
    uint32_t running() const { return m_running; }
    uint32_t unreleased() const { return static_cast<uint32_t>(m_tasks.size()) - m_running; }
    bool knows(const TaskId& id) const { return m_tasks.contains(id); }

private:
    struct Started {
        wire::TaskResult result;
        bool running = true;
    };

    bool fence(const wire::EntryToAgent&);
    std::string refusalReason(uint64_t clockUs, const wire::TaskDispatch&, const wire::EntryToAgent&, const Capacity&) const;

    uint64_t m_incarnation;
    std::string m_service;
    uint64_t m_epoch = 0;
    uint64_t m_sequence = 0;
    uint32_t m_running = 0;
    uint32_t m_foreign = 0;
    std::set<TaskId> m_uncertain;
    std::map<TaskId, Started> m_tasks;
};

} // namespace fescuegw::agent
