#include "fescuegw/direct/LoadShedder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuegw::direct {

namespace {

    // Slack counts as at least this: jobs without slack would make every wait an overload.
    constexpr Duration minSlack = std::chrono::milliseconds(10);
    // A wait beyond the slack counts no more than this, so that a few lost jobs do not outweigh all others.
    constexpr double maxWaitRatio = 3;
    constexpr double fullPercent = 100;
    // Weight of one job in the mean work.
    constexpr double workSmoothing = 0.02;
    // A job of n times the mean work of its priority is refused n times as often, within these limits.
    constexpr double minSizeFactor = 0.7;
    constexpr double maxSizeFactor = 1.3;
    // Whatever its size, a job is admitted at least and at most this much as often as the others. With them, the largest jobs are
    // admitted at least half as often as their kind as a whole.
    constexpr double minRelativeShare = 0.6;
    constexpr double maxRelativeShare = 1.15;
    constexpr size_t maxPriorities = 32;
    constexpr uint64_t randomSteps = 1U << 20U;
    // Less urgent jobs that came within this time can be refused in place of urgent ones.
    constexpr Duration lessUrgentMemory = std::chrono::seconds(1);
    // How strongly an excess of the waits lowers the load: an excess of once the limit by 15%.
    constexpr double decreasePerExcess = 15;

} // namespace

LoadShedder::LoadShedder(LoadShedderOptions options, std::function<uint64_t(uint64_t)> random)
    : m_options(options)
    , m_random(std::move(random))
{
}

void LoadShedder::onWait(uint32_t priority, Duration waited, Duration slack)
{
    const auto ratio = static_cast<double>(waited.count()) / static_cast<double>(std::max(slack, minSlack).count());
    const auto add = [&](WaitMean& mean) {
        mean.sum += std::clamp(ratio, 0.0, maxWaitRatio);
        ++mean.count;
    };
    add(m_waits);
    if (m_hasSeenUrgent && priority <= m_urgentPriority)
        add(m_urgentWaits);
}

double LoadShedder::decreaseFor(double waitPercent) const
{
    const double excess = waitPercent / m_options.maxWaitPercent - 1;
    return std::clamp(decreasePerExcess * excess, m_options.decreasePercent, m_options.maxDecreasePercent) / fullPercent;
}

double LoadShedder::increaseFor(double waitPercent) const
{
    const double range = m_options.maxIncreasePercent - m_options.increasePercent;
    return (m_options.maxIncreasePercent - range * waitPercent / m_options.minWaitPercent) / fullPercent;
}

// Urgent tasks are placed first, so their waits show whether the capacity suffices for them alone. Their share returns slowly at
// first: their slack is short, and an excess shows only once tasks wait. After waits that stayed short for a while, the overload
// has ended, and both shares return together.
void LoadShedder::update(TimePoint now)
{
    m_updateDue = now + m_options.period;
    const double urgentWaits = std::exchange(m_urgentWaits, {}).percent();
    const double waits = std::max(std::exchange(m_waits, {}).percent(), urgentWaits);
    const double minShare = m_options.minSharePercent / fullPercent;
    const bool othersCanBeRefused = m_share > minShare && now - m_lessUrgentSeen < lessUrgentMemory;
    if (waits >= m_options.minWaitPercent)
        m_longWaitsSeen = now;
    const bool overloadEnded = now - m_longWaitsSeen >= m_options.overloadMemory;
    if (waits > m_options.maxWaitPercent && othersCanBeRefused)
        m_share = std::max(minShare, m_share * (1 - decreaseFor(waits)));
    else if (urgentWaits > m_options.maxWaitPercent)
        m_urgentShare = std::max(minShare, m_urgentShare * (1 - decreaseFor(urgentWaits)));
    if (waits < m_options.minWaitPercent && (m_urgentShare >= 1 || overloadEnded))
        m_share = std::min(1.0, m_share + increaseFor(waits));
    if (urgentWaits < m_options.minWaitPercent) {
        const double increase = overloadEnded ? increaseFor(waits) : m_options.increasePercent / fullPercent;
        m_urgentShare = std::min(1.0, m_urgentShare + increase);
    }
}

bool LoadShedder::isMostUrgent(TimePoint now, uint32_t priority)
{
    if (!m_hasSeenUrgent || priority <= m_urgentPriority || now - m_urgentSeen > m_options.priorityMemory) {
        // What was the most urgent priority is refused like the less urgent ones from now on, and its overload says nothing about
        // the new one.
        if (m_hasSeenUrgent && priority < m_urgentPriority) {
            m_share = std::min(m_share, m_urgentShare);
            m_urgentShare = 1;
            m_urgentWaits = {};
        }
        m_hasSeenUrgent = true;
        m_urgentPriority = priority;
        m_urgentSeen = now;
        return true;
    }
    m_lessUrgentSeen = now;
    return false;
}

double LoadShedder::sizeFactor(const JobCost& cost)
{
    // Routes may have any priorities; those beyond the limit are treated alike, whatever their work.
    if (cost.work <= 0 || (m_meanWork.size() >= maxPriorities && !m_meanWork.contains(cost.priority)))
        return 1;
    double& mean = m_meanWork.try_emplace(cost.priority, cost.work).first->second;
    mean += workSmoothing * (cost.work - mean);
    return std::clamp(cost.work / mean, minSizeFactor, maxSizeFactor);
}

bool LoadShedder::admits(TimePoint now, const JobCost& cost)
{
    if (!m_options.enabled)
        return true;
    const bool urgent = isMostUrgent(now, cost.priority);
    const double factor = sizeFactor(cost);
    const double share = urgent ? m_urgentShare : m_share;
    if (share >= 1)
        return true;
    const double admitted = std::clamp(1 - (1 - share) * factor, minRelativeShare * share, maxRelativeShare * share);
    return static_cast<double>(m_random(randomSteps)) < admitted * static_cast<double>(randomSteps);
}

uint32_t LoadShedder::retryAfterS() const
{
    const double missing = (1 - m_share) + (1 - m_urgentShare);
    const double periods = missing * fullPercent / m_options.increasePercent;
    const auto seconds = std::chrono::duration_cast<std::chrono::duration<double>>(m_options.period).count() * periods;
    return 1 + static_cast<uint32_t>(std::ceil(seconds));
}

} // namespace fescuegw::direct
