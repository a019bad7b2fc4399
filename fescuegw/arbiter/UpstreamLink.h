// Threads that make the blocking calls to an upstream, so that the link thread never waits for it.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "fescuegw/arbiter/Upstream.h"

namespace fescuegw::arbiter {

struct StartAnswer {
    StartVerdict verdict = StartVerdict::Unanswered;
    // For the log only: an answer does not tell which process of the upstream gave it.
    std::optional<uint64_t> clockMs;
};

struct HoldAnswer {
    // Empty when there was no valid answer.
    std::optional<Listing> listing;
    // Without a listing.
    HoldFailure failure = HoldFailure::Unanswered;
    std::string reason;
};

// Blocking calls to one upstream. Each thread has its own set, with its own connections. Errors are returned in the answers.
struct UpstreamCalls {
    std::function<StartAnswer(const StartOrder&)> start;
    // Returns whether there was an answer. Whether the stop took effect is seen in the listing only.
    std::function<bool(const StopOrder&)> stop;
    std::function<HoldAnswer(const HoldOrder&)> hold;
};

// `post` runs a function on the link thread; the other hooks are called there.
struct UpstreamLinkHooks {
    std::function<void(std::function<void(TimePoint)>)> post;
    std::function<void(TimePoint, uint64_t serial, const StartAnswer&)> onStart;
    std::function<void(TimePoint, const StopOrder&, bool answered)> onStop;
    std::function<void(TimePoint, TimePoint sent, const HoldAnswer&)> onHold;
};

// One thread for holds, which block until their wait is over, and `orderThreads` for orders. Thread-safe.
class UpstreamLink {
public:
    UpstreamLink(size_t orderThreads, const std::function<UpstreamCalls()>& connect, UpstreamLinkHooks);
    ~UpstreamLink();
    UpstreamLink(const UpstreamLink&) = delete;
    UpstreamLink& operator=(const UpstreamLink&) = delete;
    UpstreamLink(UpstreamLink&&) = delete;
    UpstreamLink& operator=(UpstreamLink&&) = delete;

    void start(uint64_t serial, const StartOrder&);
    void stop(const StopOrder&);
    // At most one hold may be in flight.
    void hold(TimePoint now, const HoldOrder&);

private:
    using Order = std::function<void(const UpstreamCalls&)>;

    struct Queue {
        std::condition_variable condition;
        // Served before `orders`.
        std::deque<Order> urgent;
        std::deque<Order> orders;
    };

    void processQueue(Queue&, const UpstreamCalls&);
    void enqueue(Queue&, std::deque<Order>&, Order);

    UpstreamLinkHooks m_hooks;
    std::mutex m_mutex;
    Queue m_orders;
    Queue m_holds;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace fescuegw::arbiter
