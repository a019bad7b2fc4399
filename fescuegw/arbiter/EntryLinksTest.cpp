// Tests of the messages from an agent to entries, over links that lose messages.
#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "fescuegw/arbiter/EntryLinks.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::arbiter;

constexpr const char* address = "10.0.0.1:1";

wire::UpstreamOffer acceptingOffer()
{
    wire::UpstreamOffer offer;
    offer.set_accepting(true);
    return offer;
}

struct Agent {
    Agent() { links.onView(now, view(true)); }

    static wire::View view(bool listed)
    {
        wire::View view;
        if (listed)
            view.add_entries()->set_address(address);
        return view;
    }

    void receive(const std::string& entry, uint64_t acknowledged, uint32_t intervalMs = 0)
    {
        wire::EntryToUpstream message;
        message.set_entry(entry);
        message.set_acked_reports(acknowledged);
        message.set_offer_interval_ms(intervalMs);
        cr_assert(links.onMessage(now, address, message));
    }

    void report(const std::string& entry, wire::AttemptState state)
    {
        wire::AttemptReport it;
        it.set_state(state);
        links.report(entry, it);
    }

    void send()
    {
        links.send(
            now, { "agent", 1 }, [] { return acceptingOffer(); },
            [this](const std::string&, const wire::UpstreamToEntry& it) { sent.push_back(it); });
    }

    void advance(int64_t ms)
    {
        now += std::chrono::milliseconds(ms);
        send();
    }

    TimePoint now { std::chrono::hours(1) };
    EntryLinks links { "agent" };
    std::vector<wire::UpstreamToEntry> sent;
};

} // namespace

Test(EntryLinks, reportsAreRepeatedUntilAcknowledged)
{
    Agent agent;
    agent.receive("e/1", 0, 250);
    agent.report("e/1", wire::ATTEMPT_DONE);
    agent.report("e/1", wire::ATTEMPT_FAILED);
    agent.send();
    cr_assert_eq(agent.sent.back().reports_size(), 2);
    cr_assert_eq(agent.sent.back().first_report(), 1);
    cr_assert(!agent.links.allAcknowledged());
    agent.receive("e/1", 1);
    agent.advance(500);
    cr_assert_eq(agent.sent.back().reports_size(), 1);
    cr_assert_eq(agent.sent.back().first_report(), 2);
    cr_assert_eq(agent.sent.back().reports(0).state(), wire::ATTEMPT_FAILED);
    // A reordered older acknowledgement has no effect; one beyond the last report sent acknowledges every report sent.
    agent.receive("e/1", 0);
    agent.receive("e/1", 90);
    cr_assert(agent.links.allAcknowledged());
    agent.report("e/1", wire::ATTEMPT_DONE);
    agent.send();
    cr_assert_eq(agent.sent.back().first_report(), 3);
}

// An entry that starts again has no record of crashes, and callers submit their jobs to it again.
Test(EntryLinks, broadcastsReachAllEntriesAndTheNextProcessOfEach)
{
    Agent agent;
    agent.receive("e/1", 0, 250);
    agent.send();
    wire::AttemptReport crash;
    crash.set_state(wire::ATTEMPT_CRASHED);
    agent.links.broadcast(agent.now, crash);
    agent.advance(1);
    cr_assert_eq(agent.sent.back().reports_size(), 1);
    cr_assert_eq(agent.sent.back().reports(0).state(), wire::ATTEMPT_CRASHED);
    agent.receive("e/1", 1, 250);
    cr_assert(agent.links.allAcknowledged());
    agent.receive("e/2", 0, 250);
    agent.advance(250);
    cr_assert_eq(agent.sent.back().reports_size(), 1, "the next process is told too");
    agent.receive("e/2", agent.sent.back().first_report(), 250);
    cr_assert(agent.links.allAcknowledged());
    agent.advance(31000);
    agent.receive("e/3", 0, 250);
    agent.advance(250);
    cr_assert_eq(agent.sent.back().reports_size(), 0, "no caller retries for that long");
}

Test(EntryLinks, endReportsAreSentAtOnceAndStartReportsAreNot)
{
    Agent agent;
    agent.receive("e/1", 0, 250);
    agent.send();
    const size_t n = agent.sent.size();
    agent.report("e/1", wire::ATTEMPT_STARTED);
    agent.advance(10);
    cr_assert_eq(agent.sent.size(), n);
    agent.report("e/1", wire::ATTEMPT_DONE);
    agent.advance(1);
    cr_assert_eq(agent.sent.size(), n + 1);
    cr_assert_eq(agent.sent.back().reports_size(), 2);
}

Test(EntryLinks, offersAreSentAtTheRequestedInterval)
{
    Agent agent;
    agent.receive("e/1", 0, 200);
    agent.send();
    const size_t n = agent.sent.size();
    for (int i = 0; i < 100; ++i)
        agent.advance(10);
    cr_assert_eq(agent.sent.size(), n + 5);
}

Test(EntryLinks, reportsToAnEarlierProcessAreDropped)
{
    Agent agent;
    agent.receive("e/1", 0);
    agent.report("e/1", wire::ATTEMPT_DONE);
    agent.receive("e/2", 0);
    cr_assert(agent.links.allAcknowledged());
    agent.report("e/1", wire::ATTEMPT_DONE);
    cr_assert(agent.links.allAcknowledged());
}

Test(EntryLinks, anUnlistedEntryIsKeptWhileItSendsMessages)
{
    Agent agent;
    agent.links.onView(agent.now, Agent::view(false));
    for (int i = 0; i < 20; ++i) {
        agent.advance(1000);
        agent.receive("e/1", 0);
        cr_assert(agent.links.expire(agent.now).empty());
    }
    agent.advance(10001);
    cr_assert_eq(agent.links.expire(agent.now), std::vector<std::string> { address });
    cr_assert(agent.links.empty());
}

// A rolling restart of the entries changes every agent's subset. An entry whose agents left without notice would lose the tasks
// it runs there, and would offer work to agents that no longer listen.
Test(EntryLinks, anEntryOutsideTheSubsetIsReleasedFirst)
{
    Agent agent;
    const EntryLinksOptions options;
    agent.receive("e/1", 0);
    agent.report("e/1", wire::ATTEMPT_DONE);
    agent.send();
    cr_assert_eq(agent.sent.back().first_report(), 1);
    agent.receive("e/1", 1);
    wire::View view;
    for (size_t n = 0; n < 8 * options.subset.size; ++n)
        view.add_entries()->set_address("10.0.1." + std::to_string(n) + ":1");
    view.add_entries()->set_address(address);
    // Stopping entries are outside of the subset while there are enough others.
    view.mutable_entries(view.entries_size() - 1)->set_draining(true);
    cr_assert_eq(agent.links.onView(agent.now, view).size(), options.subset.size);
    for (int i = 0; i < 10; ++i) {
        agent.receive("e/1", 1);
        agent.advance(1000);
        cr_assert(agent.links.expire(agent.now).empty());
    }
    agent.advance(2001);
    cr_assert_eq(agent.links.expire(agent.now), std::vector<std::string> { address });
    // After a return, reports continue with numbers that the entry has not seen.
    agent.links.onView(agent.now, Agent::view(true));
    agent.receive("e/1", 1);
    cr_assert(agent.links.allAcknowledged());
    agent.report("e/1", wire::ATTEMPT_DONE);
    agent.receive("e/1", 1);
    cr_assert(!agent.links.allAcknowledged(), "a report that was not sent counts as acknowledged");
}

Test(EntryLinks, anEntryOutsideTheSubsetIsOfferedNothing)
{
    Agent agent;
    wire::View view;
    for (size_t n = 0; n < 2 * EntryLinksOptions().subset.size; ++n)
        view.add_entries()->set_address("10.0.1." + std::to_string(n) + ":1");
    wire::EntryInfo& stopping = *view.add_entries();
    stopping.set_address(address);
    stopping.set_draining(true);
    agent.links.onView(agent.now, view);
    agent.advance(1000);
    size_t accepting = 0;
    for (const auto& it : agent.sent)
        accepting += it.offer().accepting() ? 1 : 0;
    cr_assert_eq(agent.sent.size(), EntryLinksOptions().subset.size + 1);
    cr_assert_eq(accepting, EntryLinksOptions().subset.size);
}

// An entry that starts again acknowledges, in its first message, the reports up to the number that it found in an offer. The
// broadcasts that are queued for it get lower numbers and count as acknowledged, though it has not been sent them.
Test(EntryLinks, broadcastsReachTheNextProcessOfAnEntryThatHadReports)
{
    Agent agent;
    agent.receive("e/1", 0, 250);
    for (int n = 0; n < 3; ++n)
        agent.report("e/1", wire::ATTEMPT_DONE);
    wire::AttemptReport crash;
    crash.set_state(wire::ATTEMPT_CRASHED);
    agent.links.broadcast(agent.now, crash);
    agent.send();
    agent.receive("e/1", 4, 250);
    agent.advance(250);
    // See OfferTable::onMessage.
    agent.receive("e/2", agent.sent.back().first_report() - 1, 250);
    agent.advance(250);
    cr_assert_eq(agent.sent.back().reports_size(), 1);
}

namespace {

// An agent with links to three entries.
struct AgentOfThree {
    AgentOfThree()
    {
        wire::View view;
        for (const char* it : addresses)
            view.add_entries()->set_address(it);
        links.onView(now, view);
        for (const char* it : addresses)
            receive(it, {});
        send();
    }

    void receive(const std::string& from, const std::vector<std::string>& cancelledJobs, uint64_t acknowledged = 0)
    {
        wire::EntryToUpstream message;
        message.set_entry("e" + from);
        message.set_acked_reports(acknowledged);
        message.set_offer_interval_ms(250);
        for (const auto& it : cancelledJobs)
            message.add_cancelled_jobs(it);
        cr_assert(links.onMessage(now, from, message));
    }

    // Sends what is due, and returns the number of cancelled jobs in the messages, by entry.
    std::map<std::string, int> send()
    {
        std::map<std::string, int> cancelled;
        links.send(
            now, { "agent", 1 }, [] { return acceptingOffer(); },
            [&](const std::string& to, const wire::UpstreamToEntry& message) {
                for (const auto& it : message.reports())
                    cancelled[to] += it.state() == wire::ATTEMPT_JOB_CANCELLED ? 1 : 0;
            });
        return cancelled;
    }

    static constexpr std::array<const char*, 3> addresses { "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1" };
    TimePoint now { std::chrono::hours(1) };
    EntryLinks links { "agent" };
};

} // namespace

// A caller cancels its job at another entry than the one that has it. The entry that was asked repeats it until it has the
// report.
Test(EntryLinks, aCancelledJobIsReportedToAllEntriesOnce)
{
    AgentOfThree agent;
    agent.receive("10.0.0.1:1", { "j" });
    const std::map<std::string, int> all { { "10.0.0.1:1", 1 }, { "10.0.0.2:1", 1 }, { "10.0.0.3:1", 1 } };
    cr_assert(agent.send() == all);
    cr_assert(agent.links.allAcknowledged(), "a drain does not wait for it");
    for (const char* it : AgentOfThree::addresses)
        agent.receive(it, {}, 1);
    // Another entry is asked to cancel the same job, and has forgotten the first report.
    agent.receive("10.0.0.2:1", { "j" }, 1);
    agent.receive("10.0.0.2:1", { "j" }, 1);
    const std::map<std::string, int> asking { { "10.0.0.2:1", 1 } };
    cr_assert(agent.send() == asking);
}

// Callers may cancel any number of jobs that do not exist.
Test(EntryLinks, cancelledJobsAreBounded)
{
    constexpr size_t jobs = 10000;
    AgentOfThree agent;
    std::vector<std::string> names;
    for (size_t i = 0; i < jobs; ++i)
        names.push_back("j" + std::to_string(i));
    agent.receive("10.0.0.1:1", names);
    const auto most = static_cast<int>(EntryLinksOptions().maxCancelledJobs);
    cr_assert_eq(agent.send()["10.0.0.2:1"], most);
    agent.now += std::chrono::seconds(4);
    for (const char* it : AgentOfThree::addresses)
        agent.receive(it, {}, jobs);
    agent.receive("10.0.0.1:1", { "later" }, jobs);
    cr_assert_eq(agent.send()["10.0.0.2:1"], 1);
}
