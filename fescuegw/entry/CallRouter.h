// Routes callers' requests to the entry that owns the service, and retries until they are answered.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <control.pb.h>

#include "fescuegw/dispatch/Dispatcher.h"
#include "fescuegw/entry/Call.h"
#include "fescuegw/group/StateClient.h"

namespace fescuegw::entry {

// Receives the response to one call, or null if this entry does not own the service and has started nothing.
using AnswerHook = std::function<void(const http::Response*)>;

struct RouterHooks {
    std::function<void(const std::string& entry, const wire::ForwardRequest&)> forward;
};

// Holds the calls in progress, including those that cannot be routed yet. A call whose owner is lost is routed to the next
// one; this is safe because submissions and single requests are idempotent by key, and other calls are repeatable.
// Not thread-safe: used only on the entry's link thread.
class CallRouter {
public:
    CallRouter(std::string self, dispatch::Dispatcher&, group::StateClient&, RouterHooks);

    // Accepts a call from a caller of this entry. `request` is forwarded if another entry owns the service.
    void accept(TimePoint now, Call, const http::Request& request, AnswerHook);

    // Accepts a call that another entry forwarded. It is not forwarded again.
    void acceptForwarded(TimePoint now, Call, Duration wait, AnswerHook);

    void onForwardReply(TimePoint now, const wire::ForwardReply&);
    void onForwardUndeliverable(TimePoint now, uint64_t forwardId);

    // Reroutes calls whose owner has changed, and answers those whose wait time is over.
    void tick(TimePoint now);

    size_t callCount() const { return m_calls.size(); }
    uint64_t forwardedCount() const { return m_forwardedCount; }

private:
    struct PendingCall {
        Call call;
        TimePoint receivedAt;
        TimePoint deadline;
        AnswerHook answer;
        bool forwardable = true;
        // The call was passed to an owner, which may have started a task for it.
        bool handedToOwner = false;
        // To be routed again on the next tick.
        bool needsRouting = false;
        std::string forwardedTo;
        TimePoint forwardedAt;
        http::Request request;
    };

    void add(TimePoint now, PendingCall);
    bool refuseUnknownTarget(TimePoint now, uint64_t id);
    std::optional<Error> checkTarget(const Call&) const;
    void route(TimePoint now, uint64_t id);
    void lookUpSubmission(TimePoint now, uint64_t id);
    void serveLocally(TimePoint now, uint64_t id, dispatch::ServiceDispatcher&);
    void forward(TimePoint now, uint64_t id, const std::string& owner);
    void onReply(uint64_t id, const dispatch::Reply&);
    void answer(uint64_t id, const http::Response&);
    void expire(uint64_t id);

    std::string m_self;
    dispatch::Dispatcher& m_dispatcher;
    group::StateClient& m_state;
    RouterHooks m_hooks;
    uint64_t m_nextId = 0;
    uint64_t m_forwardedCount = 0;
    TimePoint m_nextTick;
    std::map<uint64_t, PendingCall> m_calls;
};

} // namespace fescuegw::entry
