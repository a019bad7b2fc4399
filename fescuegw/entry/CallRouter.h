// Takes each caller's request to the owner of its service, here or on another entry, until it is answered.
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

// Answers one call: with a response, or nothing when this entry does not own the service and started nothing.
using AnswerHook = std::function<void(const http::Response*)>;

struct RouterHooks {
    std::function<void(const std::string& entry, const wire::ForwardRequest&)> forward;
};

// Calls that can't be taken to an owner yet wait here. A call whose owner is lost is taken to the next one: submissions and
// single requests are idempotent by their keys, and others are repeatable. Not thread-safe: the entry's link thread owns it.
class CallRouter {
public:
    CallRouter(std::string self, dispatch::Dispatcher&, group::StateClient&, RouterHooks);

    // Takes a call from a caller of this entry. `request` is what is forwarded.
    void accept(TimePoint now, Call, const http::Request& request, AnswerHook);

    // Takes a call that another entry forwarded; it is not forwarded again.
    void acceptForwarded(TimePoint now, Call, Duration wait, AnswerHook);

    void onForwardReply(TimePoint now, const wire::ForwardReply&);
    void onForwardUndeliverable(TimePoint now, uint64_t forwardId);

    // Takes up calls whose owner has changed, and ends those whose caller waits no longer.
    void tick(TimePoint now);

    size_t callCount() const { return m_calls.size(); }
    uint64_t forwardedCount() const { return m_forwarded; }

private:
    struct Routed {
        Call call;
        TimePoint received;
        TimePoint due;
        AnswerHook answer;
        bool forwardable = true;
        // Handed to an owner that may have started something for it.
        bool handedOver = false;
        bool parked = false;
        std::string forwardedTo;
        TimePoint forwardedAt;
        http::Request request;
    };

    void add(TimePoint now, Routed);
    bool refuseUnknown(TimePoint now, uint64_t id);
    std::optional<Error> unknown(const Call&) const;
    void route(TimePoint now, uint64_t id);
    void locate(TimePoint now, uint64_t id);
    void serveHere(TimePoint now, uint64_t id, dispatch::ServiceDispatcher&);
    void forward(TimePoint now, uint64_t id, const std::string& owner);
    void onReply(uint64_t id, const dispatch::Reply&);
    void answer(uint64_t id, const http::Response&);
    void expire(uint64_t id);

    std::string m_self;
    dispatch::Dispatcher& m_dispatcher;
    group::StateClient& m_state;
    RouterHooks m_hooks;
    uint64_t m_nextId = 0;
    uint64_t m_forwarded = 0;
    TimePoint m_tickDue;
    std::map<uint64_t, Routed> m_calls;
};

} // namespace fescuegw::entry
