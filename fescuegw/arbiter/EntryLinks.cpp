#include "fescuegw/arbiter/EntryLinks.h"

#include <algorithm>

#include "fescuegw/logging/Log.h"

namespace fescuegw::arbiter {

using logging::Event;
using logging::Level;

namespace {

    wire::AttemptReport cancelledJobReport(const std::string& job)
    {
        wire::AttemptReport report;
        report.mutable_key()->set_job(job);
        report.set_state(wire::ATTEMPT_JOB_CANCELLED);
        return report;
    }

    bool isBroadcast(const wire::AttemptReport& report)
    {
        return report.state() == wire::ATTEMPT_CRASHED || report.state() == wire::ATTEMPT_JOB_CANCELLED;
    }

} // namespace

std::vector<wire::EntryInfo> EntryLinks::onView(TimePoint now, const wire::View& view)
{
    std::vector<wire::EntryInfo> found;
    for (auto& it : m_links)
        it.second.listed = it.second.selected = false;
    for (const auto& it : view.entries())
        if (const auto link = m_links.find(it.address()); link != m_links.end())
            link->second.listed = true;
    for (const auto& it : selectEntries(m_agent, view, m_options.subset)) {
        const auto [link, added] = m_links.try_emplace(it.address());
        link->second.listed = link->second.selected = true;
        if (!added)
            continue;
        link->second.lastHeardAt = now;
        link->second.firstReport = m_discardedReports + 1;
        link->second.discardedReports = m_discardedReports;
        found.push_back(it);
        Event(Level::Info, "entry_linked").with("entry", it.entry()).with("address", it.address());
    }
    return found;
}

bool EntryLinks::onMessage(TimePoint now, const std::string& address, const wire::EntryToUpstream& message)
{
    const auto found = m_links.find(address);
    if (found == m_links.end())
        return false;
    Link& link = found->second;
    link.lastHeardAt = now;
    if (link.entry != message.entry()) {
        Event(Level::Info, "entry_known").with("entry", message.entry()).with("before", link.entry);
        // Another process at this address: the callers of the previous one no longer wait for its reports.
        if (!link.entry.empty()) {
            // Its numbers are not used again: the next process may acknowledge them, as found in a message to the previous one.
            link.discardedReports = link.firstReport + link.reports.size() - 1;
            link.firstReport = link.discardedReports + 1;
            link.reports.clear();
            link.seenSequence = 0;
        }
        link.entry = message.entry();
        addBroadcasts(now, link);
    }
    link.seenSequence = std::max(link.seenSequence, message.sequence());
    const uint64_t acknowledged = std::max(message.acked_reports() + 1, link.firstReport) - link.firstReport;
    const auto n = static_cast<std::ptrdiff_t>(std::min<uint64_t>(acknowledged, link.reports.size()));
    link.reports.erase(link.reports.begin(), link.reports.begin() + n);
    link.firstReport += static_cast<uint64_t>(n);
    if (message.offer_interval_ms() > 0)
        link.offerInterval = std::chrono::milliseconds(message.offer_interval_ms());
    for (const auto& it : message.cancelled_jobs())
        reportCancelledJob(now, link, it);
    return true;
}

// The entry that has the job is not known, so each one is told. A repeated request shows that its sender has not received the
// report, or has been told before it asked.
void EntryLinks::reportCancelledJob(TimePoint now, Link& sender, const std::string& job)
{
    std::erase_if(m_cancelledJobs, [&](const auto& it) { return now - it.second > m_options.cancelledJobRetention; });
    const bool known = m_cancelledJobs.contains(job);
    if (!known && m_cancelledJobs.size() >= m_options.maxCancelledJobs)
        return;
    m_cancelledJobs.try_emplace(job, now);
    const auto addReport = [&](Link& link) {
        const bool isQueued = std::any_of(link.reports.begin(), link.reports.end(),
            [&](const auto& it) { return it.state() == wire::ATTEMPT_JOB_CANCELLED && it.key().job() == job; });
        if (link.entry.empty() || isQueued)
            return;
        link.reports.push_back(cancelledJobReport(job));
        link.sendNow = true;
    };
    if (known) {
        addReport(sender);
        return;
    }
    for (auto& it : m_links)
        addReport(it.second);
}

EntryLinks::Link* EntryLinks::findLink(const std::string& entry)
{
    const auto it = std::find_if(m_links.begin(), m_links.end(), [&](const auto& link) { return link.second.entry == entry; });
    return it == m_links.end() ? nullptr : &it->second;
}

void EntryLinks::report(const std::string& entry, const wire::AttemptReport& report)
{
    Link* link = findLink(entry);
    if (link == nullptr)
        return;
    link->reports.push_back(report);
    // The report of a start waits for the next message: sent at once, such reports would make up half of all messages.
    link->sendNow = link->sendNow || report.state() != wire::ATTEMPT_STARTED;
}

void EntryLinks::grant(const std::string& entry, const wire::Grant& grant)
{
    Link* link = findLink(entry);
    if (link == nullptr)
        return;
    link->grants.push_back(grant);
    link->sendNow = true;
}

void EntryLinks::broadcast(TimePoint now, const wire::AttemptReport& report)
{
    m_broadcasts.emplace_back(now, report);
    while (m_broadcasts.size() > m_options.maxBroadcasts || now - m_broadcasts.front().first > m_options.broadcastRetention)
        m_broadcasts.pop_front();
    for (auto& it : m_links) {
        if (it.second.entry.empty())
            continue;
        it.second.reports.push_back(report);
        it.second.sendNow = true;
    }
}

void EntryLinks::addBroadcasts(TimePoint now, Link& link)
{
    for (const auto& it : m_broadcasts)
        if (now - it.first <= m_options.broadcastRetention)
            link.reports.push_back(it.second);
}

void EntryLinks::send(TimePoint now, const AgentId& self, const std::function<wire::UpstreamOffer()>& offer, const SendHook& send)
{
    std::optional<wire::UpstreamOffer> current;
    for (auto& it : m_links) {
        Link& link = it.second;
        const bool retryIsDue = !link.reports.empty() && now >= link.retryDue;
        if (!link.sendNow && !retryIsDue && now < link.offerDue)
            continue;
        if (!current)
            current = offer();
        wire::UpstreamToEntry message;
        message.set_agent(self.name);
        message.set_incarnation(self.incarnation);
        message.set_clock_us(toMicros(now));
        message.set_seen_sequence(link.seenSequence);
        *message.mutable_offer() = *current;
        if (link.listed && !link.selected)
            message.mutable_offer()->set_accepting(false);
        message.set_first_report(link.firstReport);
        message.set_discarded_reports(link.discardedReports);
        for (const auto& report : link.reports)
            *message.add_reports() = report;
        for (const auto& grant : link.grants)
            *message.add_grants() = grant;
        link.grants.clear();
        link.sendNow = false;
        link.offerDue = now + (link.offerInterval > Duration() ? link.offerInterval : m_options.offerInterval);
        link.retryDue = now + m_options.reportRetryInterval;
        send(it.first, message);
    }
}

std::vector<std::string> EntryLinks::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (auto it = m_links.begin(); it != m_links.end();) {
        const Link& link = it->second;
        const Duration retention = link.listed ? m_options.surplusRetention : m_options.unlistedRetention;
        if (link.selected || now - link.lastHeardAt < retention) {
            ++it;
            continue;
        }
        m_discardedReports = std::max(m_discardedReports, link.firstReport + link.reports.size() - 1);
        Event(Level::Info, "entry_unlinked").with("entry", it->second.entry).with("address", it->first);
        expired.push_back(it->first);
        it = m_links.erase(it);
    }
    return expired;
}

// Without the broadcasts, which may be for entries that have gone.
bool EntryLinks::allAcknowledged() const
{
    return std::all_of(m_links.begin(), m_links.end(), [](const auto& it) {
        const auto& reports = it.second.reports;
        return std::all_of(reports.begin(), reports.end(), isBroadcast);
    });
}

} // namespace fescuegw::arbiter
