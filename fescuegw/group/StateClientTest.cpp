// Tests how a client finds the leader of a state group that is starting.
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "fescuegw/group/StateClient.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::group;

TimePoint at(int ms) { return TimePoint(std::chrono::milliseconds(1000 + ms)); }

struct ClientFixture {
    explicit ClientFixture(std::vector<std::string> replicas = { "a", "b", "c" })
    {
        StateClientHooks hooks;
        hooks.send = [this](const std::string& replica, const wire::StateRequest& it) { sent.emplace_back(replica, it); };
        client = std::make_unique<StateClient>(StateClientOptions(), std::move(replicas), hooks);
    }

    void flush(TimePoint now) { client->flush(now, wire::EntryInfo()); }
    void failLastSend(TimePoint now) { client->onUndeliverable(now, sent.back().first, sent.back().second); }

    std::vector<std::pair<std::string, wire::StateRequest>> sent;
    std::unique_ptr<StateClient> client;
};

} // namespace

// After a power loss of the whole group, replicas start one after the other. A client must skip unreachable ones without waiting
// for the request time-out.
Test(StateClient, triesNextReplicaAfterRetryDelayWhenOneIsUnreachable)
{
    ClientFixture fixture;
    fixture.flush(at(0));
    cr_assert_eq(fixture.sent.back().first, std::string("a"));
    fixture.failLastSend(at(0));
    fixture.flush(at(60));
    cr_assert_eq(fixture.sent.back().first, std::string("b"));
    fixture.failLastSend(at(60));
    fixture.flush(at(120));
    cr_assert_eq(fixture.sent.back().first, std::string("c"));
    // The leader has started in the meantime.
    wire::StateReply reply;
    reply.set_request_id(fixture.sent.back().second.request_id());
    reply.mutable_heartbeat();
    fixture.client->onReply(at(122), "c", reply);
    cr_assert(fixture.client->reachable());
}

Test(StateClient, resendsUndeliverableCommands)
{
    ClientFixture fixture;
    int results = 0;
    fixture.client->propose(wire::Command(), [&](TimePoint, const wire::CommandResult&) { ++results; });
    fixture.flush(at(0));
    const wire::StateRequest proposal
        = fixture.sent.front().second.has_propose() ? fixture.sent.front().second : fixture.sent.back().second;
    fixture.client->onUndeliverable(at(0), "a", proposal);
    fixture.sent.clear();
    fixture.flush(at(60));
    bool resent = false;
    for (const auto& it : fixture.sent)
        resent = resent || (it.first == "b" && it.second.request_id() == proposal.request_id());
    cr_assert(resent);
    wire::StateReply reply;
    reply.set_request_id(proposal.request_id());
    reply.mutable_propose()->add_results();
    fixture.client->onReply(at(62), "b", reply);
    cr_assert_eq(results, 1);
}

// A change of a large routing while many agents ask for the list of entries: agents have no use for the routing.
Test(StateClient, asksForRoutingOnlyWhenItIsUsed)
{
    ClientFixture agent;
    agent.flush(at(0));
    cr_assert_eq(agent.sent.back().second.heartbeat().known_routing_version(), std::numeric_limits<uint64_t>::max());
    std::vector<wire::StateRequest> sent;
    StateClientHooks hooks;
    hooks.send = [&sent](const std::string&, const wire::StateRequest& it) { sent.push_back(it); };
    hooks.onRouting = [](TimePoint, const wire::Routing&) {};
    StateClient entry({}, { "a" }, hooks);
    entry.flush(at(0), wire::EntryInfo());
    cr_assert_eq(sent.back().heartbeat().known_routing_version(), 0U);
}

// Guards against the crash of a process whose settings name no replica yet.
Test(StateClient, waitsForItsFirstReplica)
{
    ClientFixture fixture(std::vector<std::string> {});
    bool answered = false;
    fixture.flush(at(0));
    fixture.client->request(at(10), wire::StateRequest(), [&](TimePoint, const wire::StateReply&) { answered = true; });
    fixture.client->propose(wire::Command(), [](TimePoint, const wire::CommandResult&) {});
    for (int ms = 0; ms < 2000; ms += 100)
        fixture.flush(at(ms));
    cr_assert(fixture.sent.empty());
    fixture.client->addReplicas({ "a" });
    fixture.flush(at(2000));
    // The heartbeat, the request and the command.
    cr_assert_eq(fixture.sent.size(), 3);
    wire::StateReply reply;
    reply.set_request_id(1);
    fixture.client->onReply(at(2010), "a", reply);
    cr_assert(answered);
}
