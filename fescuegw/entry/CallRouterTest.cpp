// Tests how an entry answers calls whose team or service is not in its view.
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "fescuegw/entry/CallRouter.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::entry;

constexpr const char* leader = "replica-a";

TimePoint at(int ms) { return TimePoint(std::chrono::milliseconds(1000 + ms)); }

// An entry whose state group is simulated by the test.
class Entry {
public:
    Entry()
    {
        group::StateClientHooks hooks;
        hooks.send = [this](const std::string&, const wire::StateRequest& it) { sent.push_back(it); };
        hooks.onView = [this](TimePoint now, const wire::View& it) { m_dispatcher->onView(now, it); };
        hooks.onRouting = [](TimePoint, const wire::Routing&) {};
        m_state = std::make_unique<group::StateClient>(group::StateClientOptions(), std::vector<std::string> { leader }, hooks);
        dispatch::DispatchOptions options;
        options.entry = "entry2/1";
        m_dispatcher = std::make_unique<dispatch::Dispatcher>(options, dispatch::DispatchHooks());
        RouterHooks router;
        router.forward = [this](const std::string& entry, const wire::ForwardRequest&) { forwardedTo = entry; };
        m_router = std::make_unique<CallRouter>("entry2/1", *m_dispatcher, *m_state, router);
    }

    void submit(TimePoint now)
    {
        Call call;
        call.kind = CallKind::Submit;
        call.key = { "mizutama", "job" };
        call.service = "pondkeep";
        call.wait = std::chrono::seconds(10);
        m_router->accept(now, call, http::Request(), [this](const http::Response* it) { answer = *it; });
    }

    // Replies to the latest heartbeat as the group does, with `view` if it is set.
    void answerHeartbeat(TimePoint now, const std::optional<wire::View>& view)
    {
        wire::StateReply reply;
        reply.set_request_id(sent.back().request_id());
        wire::HeartbeatReply& heartbeat = *reply.mutable_heartbeat();
        if (view)
            *heartbeat.mutable_view() = *view;
        m_state->onReply(now, leader, reply);
    }

    void run(TimePoint now)
    {
        m_router->tick(now);
        m_state->flush(now, wire::EntryInfo());
    }

    std::vector<wire::StateRequest> sent;
    std::optional<http::Response> answer;
    std::string forwardedTo;

private:
    std::unique_ptr<dispatch::Dispatcher> m_dispatcher;
    std::unique_ptr<group::StateClient> m_state;
    std::unique_ptr<CallRouter> m_router;
};

wire::View emptyView()
{
    wire::View view;
    view.set_revision(1);
    return view;
}

wire::View configuredView()
{
    wire::View view;
    view.set_revision(2);
    view.set_configuration_version(1);
    view.add_teams()->set_team("mizutama");
    wire::Ownership& ownership = *view.add_ownerships();
    ownership.set_service("pondkeep");
    ownership.set_owner("entry1/1");
    ownership.set_epoch(1);
    return view;
}

} // namespace

// Guards against refusing calls by an outdated view: another entry has applied a configuration, and the call arrives here
// before the next heartbeat brings the new view.
Test(unknown_calls, wait_for_a_view_as_new_as_themselves)
{
    Entry entry;
    entry.run(at(0));
    entry.answerHeartbeat(at(2), emptyView());
    entry.submit(at(50));
    cr_assert(!entry.answer, "refused by a view that is older than the call");
    entry.run(at(51));
    cr_assert_eq(entry.sent.size(), 2, "a heartbeat is sent at once");
    entry.answerHeartbeat(at(53), configuredView());
    entry.run(at(105));
    cr_assert_eq(entry.forwardedTo, std::string("entry1/1"));
    cr_assert(!entry.answer);
}

Test(unknown_calls, are_refused_once_the_group_has_confirmed_the_view)
{
    Entry entry;
    entry.run(at(0));
    entry.answerHeartbeat(at(2), emptyView());
    entry.submit(at(50));
    entry.run(at(51));
    entry.answerHeartbeat(at(53), std::nullopt);
    entry.run(at(105));
    cr_assert(entry.answer);
    cr_assert_eq(entry.answer->status, 404);
}

Test(unknown_calls, are_unavailable_at_once_without_the_group)
{
    Entry entry;
    entry.run(at(0));
    entry.answerHeartbeat(at(2), emptyView());
    for (int ms = 200; ms <= 4000; ms += 200)
        entry.run(at(ms));
    entry.submit(at(4010));
    cr_assert(entry.answer);
    cr_assert_eq(entry.answer->status, 503);
}

// Many calls with unknown targets must not cause a heartbeat each.
Test(unknown_calls, share_view_refreshes)
{
    Entry entry;
    entry.run(at(0));
    entry.answerHeartbeat(at(2), emptyView());
    for (int ms = 50; ms < 150; ++ms) {
        entry.submit(at(ms));
        entry.run(at(ms));
    }
    const auto maxHeartbeats = static_cast<size_t>(
        150 / std::chrono::duration_cast<std::chrono::milliseconds>(group::StateClientOptions().refreshSpacing).count());
    cr_assert_leq(entry.sent.size(), maxHeartbeats + 1);
}
