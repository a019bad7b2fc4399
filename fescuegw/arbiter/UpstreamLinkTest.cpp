// Tests of the queue of orders to an upstream.
#include <future>

#include <criterion/criterion.h>

#include "fescuegw/arbiter/UpstreamLink.h"

using namespace fescuegw;
using namespace fescuegw::arbiter;

// An agent is suspended, or its order threads wait for answers, while its upstream restarts. The clock of the next process makes
// an old order look new.
Test(UpstreamLink, aStartThatHasWaitedForItsLeaseIsNotSent)
{
    std::promise<StartVerdict> late;
    std::promise<StartVerdict> inTime;
    std::atomic<int> sent { 0 };
    UpstreamCalls calls;
    calls.start = [&](const StartOrder&) {
        ++sent;
        return StartAnswer { StartVerdict::Accepted, std::nullopt };
    };
    UpstreamLinkHooks hooks;
    hooks.post = [](const std::function<void(TimePoint)>& task) { task(monotonicNow()); };
    hooks.onStart
        = [&](TimePoint, uint64_t serial, const StartAnswer& answer) { (serial == 1 ? late : inTime).set_value(answer.verdict); };
    UpstreamLink link(
        1, [&] { return calls; }, hooks);
    StartOrder order;
    order.sendBy = monotonicNow() - std::chrono::milliseconds(1);
    link.start(1, order);
    cr_assert(late.get_future().get() == StartVerdict::Late);
    cr_assert_eq(sent, 0);
    order.sendBy = TimePoint::max();
    link.start(2, order);
    cr_assert(inTime.get_future().get() == StartVerdict::Accepted);
    cr_assert_eq(sent, 1);
}
