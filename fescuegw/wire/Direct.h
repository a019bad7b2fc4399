// Conversions between the messages of best-effort dispatching and the types of base.
#pragma once

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
