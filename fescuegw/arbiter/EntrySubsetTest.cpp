// Subsets of entries at the size of a large fleet: 55 entries in 6 failure domains, 240 agents.
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <criterion/criterion.h>

#include "fescuegw/arbiter/EntrySubset.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::arbiter;

constexpr int entries = 55;
constexpr int domains = 6;
constexpr int agents = 240;

std::string address(int entry) { return "10.1.0." + std::to_string(entry) + ":7720"; }

wire::View fleet(int count)
{
    wire::View view;
    for (int n = 0; n < count; ++n) {
        wire::EntryInfo& it = *view.add_entries();
        it.set_entry("entry-" + std::to_string(n) + "/1");
        it.set_address(address(n));
        it.set_domain("domain-" + std::to_string(n % domains));
    }
    return view;
}

std::set<std::string> subsetOf(int agent, const wire::View& view)
{
    std::set<std::string> addresses;
    for (const auto& it : selectEntries("agent-" + std::to_string(agent), view, {}))
        addresses.insert(it.address());
    return addresses;
}

} // namespace

Test(entry_subset, smallFleetIsUsedWhole)
{
    const auto size = static_cast<int>(EntrySubsetOptions().size);
    for (int n = 0; n <= size; ++n)
        cr_assert_eq(subsetOf(1, fleet(n)).size(), static_cast<size_t>(n));
}

Test(entry_subset, everyAgentWorksWithItsShareInEveryDomain)
{
    const wire::View view = fleet(entries);
    const size_t size = EntrySubsetOptions().size;
    for (int n = 0; n < agents; ++n) {
        std::map<std::string, size_t> perDomain;
        const auto chosen = selectEntries("agent-" + std::to_string(n), view, {});
        cr_assert_eq(chosen.size(), size);
        for (const auto& it : chosen)
            ++perDomain[it.domain()];
        for (const auto& it : perDomain)
            cr_assert_eq(it.second, size / domains, "%s", it.first.c_str());
    }
}

// An entry with few agents would refuse its callers while the rest of the fleet is idle.
Test(entry_subset, everyEntryHasEnoughAgents)
{
    const wire::View view = fleet(entries);
    std::map<std::string, int> agentsOf;
    for (int n = 0; n < agents; ++n)
        for (const auto& it : subsetOf(n, view))
            ++agentsOf[it];
    cr_assert_eq(agentsOf.size(), static_cast<size_t>(entries));
    const int even = agents * static_cast<int>(EntrySubsetOptions().size) / entries;
    for (const auto& it : agentsOf) {
        cr_assert_geq(it.second, even / 2, "%s: %d", it.first.c_str(), it.second);
        cr_assert_leq(it.second, even * 2, "%s: %d", it.first.c_str(), it.second);
    }
}

// A rolling restart takes every entry away in turn: what it does to the links must not add up to linking all pairs anew.
Test(entry_subset, lossOfAnEntryReplacesItOnly)
{
    const wire::View before = fleet(entries);
    for (int lost = 0; lost < entries; ++lost) {
        wire::View after = before;
        after.mutable_entries()->DeleteSubrange(lost, 1);
        for (int n = 0; n < agents; n += 8) {
            std::set<std::string> kept = subsetOf(n, before);
            const bool concerned = kept.erase(address(lost)) > 0;
            const std::set<std::string> now = subsetOf(n, after);
            cr_assert(std::includes(now.begin(), now.end(), kept.begin(), kept.end()));
            cr_assert_eq(now.size(), kept.size() + (concerned ? 1 : 0));
        }
    }
}

Test(entry_subset, stoppingEntriesAreReplaced)
{
    wire::View view = fleet(entries);
    std::set<std::string> stopping;
    for (int n = 0; n < entries; n += 3) {
        view.mutable_entries(n)->set_draining(true);
        stopping.insert(address(n));
    }
    for (int n = 0; n < agents; ++n)
        for (const auto& it : subsetOf(n, view))
            cr_assert_not(stopping.contains(it));
}

// Another process left entries with unusable addresses in the list: they are passed over, and take no place of a usable one.
Test(EntrySubset, entriesWithUnusableAddressesAreIgnored)
{
    wire::View view = fleet(3);
    for (const char* it : { "10.1.0.1:77200", "10.1.0.1", "", "entry.example:7720", "10.1.0.1:0" })
        view.add_entries()->set_address(it);
    cr_assert_eq(selectEntries("agent", view, {}).size(), 3);
    EntrySubsetOptions options;
    options.size = 3;
    cr_assert_eq(selectEntries("agent", view, options).size(), 3);
    for (const auto& it : selectEntries("agent", view, options))
        cr_assert(it.address().starts_with("10.1.0.") && it.address().ends_with(":7720"));
}
