#include "fescuegw/arbiter/EntrySubset.h"

#include <algorithm>
#include <map>

#include "fescuegw/logging/Log.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::arbiter {

using logging::Event;
using logging::Level;

namespace {

    // Rendezvous hashing: the score of a pair depends on nothing else, so the choices of different agents are independent, and
    // an entry's arrival or departure leaves the order of the others unchanged. Entries are identified by address, which a
    // restarted process keeps.
    std::string score(const std::string& agent, const std::string& other) { return contentDigest(agent + " " + other); }

    using Ranking = std::vector<std::pair<std::string, const wire::EntryInfo*>>;

    std::vector<Ranking> rankByDomain(const std::string& agent, const std::vector<const wire::EntryInfo*>& entries)
    {
        std::map<std::string, Ranking> byDomain;
        for (const auto* it : entries)
            byDomain[it->domain()].emplace_back(score(agent, it->address()), it);
        std::vector<std::pair<std::string, Ranking>> ordered;
        for (auto& it : byDomain) {
            std::sort(it.second.begin(), it.second.end());
            ordered.emplace_back(score(agent, "domain " + it.first), std::move(it.second));
        }
        std::sort(ordered.begin(), ordered.end());
        std::vector<Ranking> rankings;
        rankings.reserve(ordered.size());
        for (auto& it : ordered)
            rankings.push_back(std::move(it.second));
        return rankings;
    }

    // Appends up to `size` entries in all to `chosen`, from each domain in turn: callers of one domain reach only its entries,
    // so an agent with entries of one domain would be idle or overloaded with that domain.
    void choose(const std::vector<Ranking>& rankings, size_t size, std::vector<wire::EntryInfo>& chosen)
    {
        bool found = true;
        for (size_t rank = 0; found && chosen.size() < size; ++rank) {
            found = false;
            for (const auto& it : rankings) {
                if (rank >= it.size() || chosen.size() >= size)
                    continue;
                chosen.push_back(*it[rank].second);
                found = true;
            }
        }
    }

} // namespace

std::vector<wire::EntryInfo> selectEntries(const std::string& agent, const wire::View& view, const EntrySubsetOptions& options)
{
    std::vector<wire::EntryInfo> chosen;
    std::vector<const wire::EntryInfo*> serving;
    std::vector<const wire::EntryInfo*> stopping;
    for (const auto& it : view.entries()) {
        if (settings::parseAddress(it.address()))
            (it.draining() ? stopping : serving).push_back(&it);
        else
            Event(Level::Warn, "entry_unusable").with("entry", it.entry()).with("address", it.address());
    }
    if (serving.size() + stopping.size() <= options.size) {
        for (const auto* list : { &serving, &stopping })
            for (const auto* it : *list)
                chosen.push_back(*it);
        return chosen;
    }
    choose(rankByDomain(agent, serving), options.size, chosen);
    choose(rankByDomain(agent, stopping), options.size, chosen);
    return chosen;
}

} // namespace fescuegw::arbiter
