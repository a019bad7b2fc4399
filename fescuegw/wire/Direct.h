// Conversions between the messages of best-effort dispatching and the types of base.
#pragma once

#include <algorithm>
#include <vector>

#include <direct.pb.h>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::wire {

inline fescuegw::Resources toResources(const Resources& wire)
{
    return { static_cast<int64_t>(wire.cores_milli()), static_cast<int64_t>(wire.memory_mb()),
        static_cast<int64_t>(wire.gpus()) };
}

// Negative values, which occur when an upstream's capacity is lower than its load, are sent as 0.
inline Resources toWire(const fescuegw::Resources& resources)
{
    const auto clamp = [](int64_t n) { return static_cast<uint32_t>(n < 0 ? 0 : n); };
    Resources wire;
    wire.set_cores_milli(clamp(resources.coresMilli));
    wire.set_memory_mb(clamp(resources.memoryMb));
    wire.set_gpus(clamp(resources.gpus));
    return wire;
}

// Bounds the size of a demand, and what an agent compares for a grant.
constexpr int maxDemandLevels = 8;

// Fills the fields that describe all tasks of a demand from its levels, for agents of earlier versions.
inline void summarizeLevels(Demand& demand)
{
    demand.set_tasks(0);
    if (demand.levels().empty())
        return;
    const DemandLevel& first = demand.levels(0);
    demand.set_priority(first.priority());
    demand.set_waited_ms(first.waited_ms());
    *demand.mutable_need() = first.need();
    fescuegw::Resources largest;
    for (const auto& it : demand.levels()) {
        demand.set_tasks(demand.tasks() + it.tasks());
        largest = componentMax(largest, toResources(it.largest_need()));
    }
    *demand.mutable_largest_need() = toWire(largest);
}

// Returns the levels of a demand. That of an entry of an earlier version has one for all tasks.
inline std::vector<DemandLevel> levelsOf(const Demand& demand)
{
    if (!demand.levels().empty())
        return { demand.levels().begin(), demand.levels().begin() + std::min(demand.levels_size(), maxDemandLevels) };
    if (demand.tasks() == 0)
        return {};
    DemandLevel level;
    level.set_priority(demand.priority());
    level.set_tasks(demand.tasks());
    level.set_waited_ms(demand.waited_ms());
    *level.mutable_need() = demand.need();
    *level.mutable_largest_need() = demand.largest_need();
    return { level };
}

inline StepTask toStepTask(const AttemptKey& key) { return { key.job(), key.step(), key.index() }; }

inline AttemptKey toWire(const StepTask& task, uint32_t attempt)
{
    AttemptKey key;
    key.set_job(task.job);
    key.set_step(task.step);
    key.set_index(task.index);
    key.set_attempt(attempt);
    return key;
}

} // namespace fescuegw::wire
