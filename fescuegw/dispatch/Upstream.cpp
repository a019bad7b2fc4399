#include "fescuegw/dispatch/Upstream.h"

#include <algorithm>

namespace fescuegw::dispatch {

namespace {

    constexpr uint32_t maxCountedEjections = 16;

} // namespace

Upstream::Upstream(TimePoint now, AgentId agent, UpstreamOptions options)
    : m_agent(std::move(agent))
    , m_options(options)
    , m_reportTime(now)
    , m_lastContact(now)
    , m_ejectedUntil(now)
    , m_backoffUntil(now)
{
}

bool Upstream::onReport(TimePoint now, const wire::AgentReport& report, bool hasUnsent)
{
    m_report = report;
    m_reportTime = now;
    m_lastContact = now;
    if (m_collecting)
        return m_collectSequence == 0 || now - m_collectSentAt > m_options.lease / 2;
    // Links deliver messages in order. Once the agent has received all our messages and we all its results, both sides must
    // count the same attempts; a difference means that messages were lost when a link broke.
    const bool receivedAll = !hasUnsent && report.received_sequence() == m_sequence;
    // Messages sent before the previous report have had a full report interval to arrive.
    const bool lostSome = report.received_sequence() < m_sequenceAtReport;
    m_sequenceAtReport = m_sequence;
    return lostSome || (receivedAll && report.running() != m_allocations.size());
}

void Upstream::setCollecting(TimePoint now, uint64_t sequence)
{
    m_collecting = true;
    m_collectSequence = sequence;
    m_collectSentAt = now;
    // Later reports are compared only with messages sent after this one.
    m_sequenceAtReport = 0;
}

bool Upstream::onHeld(uint64_t sequence)
{
    if (!m_collecting || sequence != m_collectSequence)
        return false;
    m_collecting = false;
    return true;
}

bool Upstream::ready() const { return m_enrolled && !m_collecting && m_report.state() == wire::SERVING; }

uint32_t Upstream::freeSlots(TimePoint now) const
{
    if (!ready() || isLost(now) || isEjected(now) || now < m_backoffUntil)
        return 0;
    const uint32_t slots = m_probation ? std::min(1U, m_report.slots()) : m_report.slots();
    const auto taken = static_cast<uint32_t>(m_allocations.size()) + m_report.foreign_running();
    return slots > taken ? slots - taken : 0;
}

bool Upstream::fits(TimePoint now, const TaskResources& resources) const
{
    return freeSlots(now) > 0 && m_used.coresMilli + resources.coresMilli <= m_report.cores_milli()
        && m_used.memoryMb + resources.memoryMb <= m_report.memory_mb();
}

bool Upstream::fitsWhenIdle(const TaskResources& resources) const
{
    return resources.coresMilli <= m_report.cores_milli() && resources.memoryMb <= m_report.memory_mb();
}

void Upstream::allocate(const AttemptRef& ref, const TaskResources& resources)
{
    if (!m_allocations.try_emplace(ref, resources).second)
        return;
    m_used.coresMilli += resources.coresMilli;
    m_used.memoryMb += resources.memoryMb;
}

bool Upstream::deallocate(const AttemptRef& ref)
{
    const auto it = m_allocations.find(ref);
    if (it == m_allocations.end())
        return false;
    m_used.coresMilli -= it->second.coresMilli;
    m_used.memoryMb -= it->second.memoryMb;
    m_allocations.erase(it);
    return true;
}

void Upstream::clearAllocations()
{
    m_allocations.clear();
    m_used = TaskResources();
}

void Upstream::onSuccess()
{
    m_failures = 0;
    m_ejections = 0;
    m_probation = false;
}

bool Upstream::onFailure(TimePoint now)
{
    ++m_failures;
    if (!m_probation && m_failures < m_options.failureThreshold)
        return false;
    Duration ejection = m_options.initialEjectionTime;
    for (uint32_t n = 0; n < m_ejections && ejection < m_options.maxEjectionTime; ++n)
        ejection *= 2;
    m_ejections = std::min(m_ejections + 1, maxCountedEjections);
    m_ejectedUntil = now + std::min(ejection, m_options.maxEjectionTime);
    m_probation = true;
    return true;
}

uint64_t Upstream::startBy(TimePoint now) const
{
    return m_report.clock_us() + static_cast<uint64_t>((now - m_reportTime + m_options.startWindow).count());
}

} // namespace fescuegw::dispatch
