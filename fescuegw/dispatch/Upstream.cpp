#include "fescuegw/dispatch/Upstream.h"

#include <algorithm>

namespace fescuegw::dispatch {

namespace {

    constexpr uint32_t ejectionsAtMost = 16;

} // namespace

Upstream::Upstream(TimePoint now, AgentId agent, UpstreamOptions options)
    : m_agent(std::move(agent))
    , m_options(options)
    , m_reported(now)
    , m_contact(now)
    , m_ejectedUntil(now)
    , m_pausedUntil(now)
{
}

bool Upstream::onReport(TimePoint now, const wire::AgentReport& report, bool unsent)
{
    m_report = report;
    m_reported = now;
    m_contact = now;
    if (m_collecting)
        return m_collectSequence == 0 || now - m_collectSent > m_options.lease / 2;
    // Messages keep their order on a link: an agent that has had all of ours and whose results we have had must count the
    // same attempts. A difference shows that a link broke and took messages with it.
    const bool receivedAll = !unsent && report.received_sequence() == m_sequence;
    // What was sent before the previous report has had a whole report interval to arrive.
    const bool lostSome = report.received_sequence() < m_sequenceAtReport;
    m_sequenceAtReport = m_sequence;
    return lostSome || (receivedAll && report.running() != m_occupations.size());
}

void Upstream::setCollecting(TimePoint now, uint64_t sequence)
{
    m_collecting = true;
    m_collectSequence = sequence;
    m_collectSent = now;
    // Only messages from now on are compared with later reports.
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
    if (!ready() || isLost(now) || isEjected(now) || now < m_pausedUntil)
        return 0;
    const uint32_t slots = m_probation ? std::min(1U, m_report.slots()) : m_report.slots();
    const auto taken = static_cast<uint32_t>(m_occupations.size()) + m_report.foreign_running();
    return slots > taken ? slots - taken : 0;
}

bool Upstream::fits(TimePoint now, const Size& size) const
{
    return freeSlots(now) > 0 && m_used.coresMilli + size.coresMilli <= m_report.cores_milli()
        && m_used.memoryMb + size.memoryMb <= m_report.memory_mb();
}

bool Upstream::couldFit(const Size& size) const
{
    return size.coresMilli <= m_report.cores_milli() && size.memoryMb <= m_report.memory_mb();
}

void Upstream::occupy(const AttemptRef& ref, const Size& size)
{
    if (!m_occupations.try_emplace(ref, size).second)
        return;
    m_used.coresMilli += size.coresMilli;
    m_used.memoryMb += size.memoryMb;
}

bool Upstream::vacate(const AttemptRef& ref)
{
    const auto it = m_occupations.find(ref);
    if (it == m_occupations.end())
        return false;
    m_used.coresMilli -= it->second.coresMilli;
    m_used.memoryMb -= it->second.memoryMb;
    m_occupations.erase(it);
    return true;
}

void Upstream::clearOccupations()
{
    m_occupations.clear();
    m_used = Size();
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
    if (!m_probation && m_failures < m_options.failuresToEject)
        return false;
    Duration ejection = m_options.ejection;
    for (uint32_t n = 0; n < m_ejections && ejection < m_options.ejectionMost; ++n)
        ejection *= 2;
    m_ejections = std::min(m_ejections + 1, ejectionsAtMost);
    m_ejectedUntil = now + std::min(ejection, m_options.ejectionMost);
    m_probation = true;
    return true;
}

uint64_t Upstream::startBy(TimePoint now) const
{
    return m_report.clock_us() + static_cast<uint64_t>((now - m_reported + m_options.startWindow).count());
}

} // namespace fescuegw::dispatch
