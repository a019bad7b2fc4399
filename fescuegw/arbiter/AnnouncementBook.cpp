#include "fescuegw/arbiter/AnnouncementBook.h"

#include <algorithm>
#include <tuple>

namespace fescuegw::arbiter {

namespace {

    constexpr size_t maxSenders = 16;

    // One process has one name, address and service. An announcement that differs in one of them has another writer, whose
    // sequence numbers say nothing about those of the process.
    bool haveSameSender(const Announcement& a, const Announcement& b)
    {
        const auto key = [](const Announcement& it) { return std::tie(it.bornMs, it.instance, it.address, it.service); };
        return key(a) == key(b);
    }

} // namespace

AnnouncementBook::Outcome AnnouncementBook::add(const Announcement& announcement)
{
    const auto known = std::find_if(m_senders.begin(), m_senders.end(),
        [&](const Sender& it) { return haveSameSender(it.claim.announcement, announcement); });
    if (known != m_senders.end()) {
        if (known->ended || announcement.sequence <= known->claim.announcement.sequence)
            return Outcome::Outdated;
        known->claim.announcement = announcement;
        // A process that leaves announces so before it departs, so the departure was that of an earlier one.
        known->claim.departed = known->claim.departed && announcement.leaving;
        ++known->count;
        known->lastArrival = ++m_arrivals;
        return Outcome::Renewed;
    }
    if (m_senders.size() == maxSenders)
        m_senders.erase(std::min_element(
            m_senders.begin(), m_senders.end(), [](const Sender& a, const Sender& b) { return a.lastArrival < b.lastArrival; }));
    Sender sender;
    sender.claim.announcement = announcement;
    sender.count = 1;
    sender.lastArrival = ++m_arrivals;
    m_senders.push_back(sender);
    return Outcome::New;
}

const AnnouncementBook::Claim* AnnouncementBook::find(uint64_t bornMs) const
{
    const auto rank = [](const Sender& it) { return std::make_tuple(!it.nameRefused, it.count, it.lastArrival); };
    const Sender* best = nullptr;
    for (const auto& it : m_senders)
        if (it.claim.announcement.bornMs == bornMs && !it.ended && (best == nullptr || rank(it) > rank(*best)))
            best = &it;
    return best == nullptr ? nullptr : &best->claim;
}

void AnnouncementBook::depart(const std::string& instance)
{
    for (auto& it : m_senders)
        if (it.claim.announcement.instance == instance)
            it.claim.departed = true;
}

void AnnouncementBook::refuseName(uint64_t bornMs, const std::string& instance)
{
    for (auto& it : m_senders)
        if (it.claim.announcement.bornMs == bornMs && it.claim.announcement.instance == instance)
            it.nameRefused = true;
}

void AnnouncementBook::endProcess(uint64_t bornMs)
{
    for (auto& it : m_senders)
        if (it.claim.announcement.bornMs == bornMs)
            it.ended = true;
}

} // namespace fescuegw::arbiter
