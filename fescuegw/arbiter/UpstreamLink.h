// The threads that call an upstream, so that the deciding thread never waits for it.
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
    std::optional<uint64_t> clockMs;
};

struct HoldAnswer {
    // Empty when there was no readable answer.
    std::optional<Listing> listing;
    bool fenced = false;
    std::string reason;
};

// Blocking calls to one upstream over connections of their own; each thread has its own set. Errors are in the answers.
struct UpstreamCalls {
    std::function<StartAnswer(const StartOrder&)> start;
    std::function<void(const StopOrder&)> stop;
    std::function<HoldAnswer(const HoldOrder&)> hold;
};

// Runs on the deciding thread.
struct UpstreamLinkHooks {
    std::function<void(std::function<void(TimePoint)>)> post;
    std::function<void(TimePoint, uint64_t serial, const StartAnswer&)> onStart;
    std::function<void(TimePoint, TimePoint sent, const HoldAnswer&)> onHold;
};

// One thread for holds, which wait, and a few for orders. Thread-safe.
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
    // At most one hold is under way.
    void hold(TimePoint now, const HoldOrder&);

private:
    using Order = std::function<void(const UpstreamCalls&)>;

    struct Line {
        std::condition_variable changed;
        std::deque<Order> orders;
    };

    void serve(Line&, const UpstreamCalls&);
    void add(Line&, Order);

    UpstreamLinkHooks m_hooks;
    std::mutex m_mutex;
    Line m_orders;
    Line m_holds;
    bool m_finished = false;
    std::vector<std::thread> m_threads;
};

} // namespace fescuegw::arbiter
