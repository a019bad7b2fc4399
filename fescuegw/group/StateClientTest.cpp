// How a client finds the leader of a state group that is starting.
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

struct Process {
    Process()
    {
        StateClientHooks hooks;
        hooks.send = [this](const std::string& replica, const wire::StateRequest& it) { sent.emplace_back(replica, it); };
        client = std::make_unique<StateClient>(StateClientOptions(), std::vector<std::string> { "a", "b", "c" }, hooks);
    }

    void flush(TimePoint now) { client->flush(now, wire::EntryInfo()); }
    void loseLast(TimePoint now) { client->onUndeliverable(now, sent.back().first, sent.back().second); }

    std::vector<std::pair<std::string, wire::StateRequest>> sent;
    std::unique_ptr<StateClient> client;
};

} // namespace

// Pattern: everything lost power, and the replicas come back one after the other.
Test(StateClient, asksTheNextReplicaSoonWhenOneIsNotThere)
{
    Process process;
    process.flush(at(0));
    cr_assert_eq(process.sent.back().first, std::string("a"));
    process.loseLast(at(0));
    process.flush(at(60));
    cr_assert_eq(process.sent.back().first, std::string("b"));
    process.loseLast(at(60));
    process.flush(at(120));
    cr_assert_eq(process.sent.back().first, std::string("c"));
    // The leader has started meanwhile.
    wire::StateReply reply;
    reply.set_request_id(process.sent.back().second.request_id());
    reply.mutable_heartbeat();
    process.client->onReply(at(122), "c", reply);
    cr_assert(process.client->reachable());
}

Test(StateClient, sendsCommandsAgainThatNeverLeft)
{
    Process process;
    int results = 0;
    process.client->propose(wire::Command(), [&](TimePoint, const wire::CommandResult&) { ++results; });
    process.flush(at(0));
    const wire::StateRequest proposal
        = process.sent.front().second.has_propose() ? process.sent.front().second : process.sent.back().second;
    process.client->onUndeliverable(at(0), "a", proposal);
    process.sent.clear();
    process.flush(at(60));
    bool again = false;
    for (const auto& it : process.sent)
        again = again || (it.first == "b" && it.second.request_id() == proposal.request_id());
    cr_assert(again);
    wire::StateReply reply;
    reply.set_request_id(proposal.request_id());
    reply.mutable_propose()->add_results();
    process.client->onReply(at(62), "b", reply);
    cr_assert_eq(results, 1);
}
