#include "fescuegw/arbiter/UpstreamLink.h"

namespace fescuegw::arbiter {

UpstreamLink::UpstreamLink(size_t orderThreads, const std::function<UpstreamCalls()>& connect, UpstreamLinkHooks hooks)
    : m_hooks(std::move(hooks))
{
    for (size_t n = 0; n < orderThreads; ++n)
        m_threads.emplace_back([this, calls = connect()] { processQueue(m_orders, calls); });
    m_threads.emplace_back([this, calls = connect()] { processQueue(m_holds, calls); });
}

UpstreamLink::~UpstreamLink()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_orders.condition.notify_all();
    m_holds.condition.notify_all();
    for (auto& it : m_threads)
        it.join();
}

void UpstreamLink::processQueue(Queue& queue, const UpstreamCalls& calls)
{
    while (true) {
        Order order;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            queue.condition.wait(lock, [&] { return m_stopping || !queue.urgent.empty() || !queue.orders.empty(); });
            if (m_stopping)
                return;
            auto& orders = queue.urgent.empty() ? queue.orders : queue.urgent;
            order = std::move(orders.front());
            orders.pop_front();
        }
        order(calls);
    }
}

void UpstreamLink::enqueue(Queue& queue, std::deque<Order>& orders, Order order)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        orders.push_back(std::move(order));
    }
    queue.condition.notify_one();
}

void UpstreamLink::start(uint64_t serial, const StartOrder& order)
{
    enqueue(m_orders, m_orders.orders, [this, serial, order](const UpstreamCalls& calls) {
        const StartAnswer answer
            = monotonicNow() > order.sendBy ? StartAnswer { StartVerdict::Late, std::nullopt } : calls.start(order);
        m_hooks.post([this, serial, answer](TimePoint now) { m_hooks.onStart(now, serial, answer); });
    });
}

void UpstreamLink::stop(const StopOrder& order)
{
    enqueue(m_orders, m_orders.urgent, [this, order](const UpstreamCalls& calls) {
        const bool answered = calls.stop(order);
        m_hooks.post([this, order, answered](TimePoint now) { m_hooks.onStop(now, order, answered); });
    });
}

void UpstreamLink::hold(TimePoint now, const HoldOrder& order)
{
    enqueue(m_holds, m_holds.orders, [this, now, order](const UpstreamCalls& calls) {
        const HoldAnswer answer = calls.hold(order);
        m_hooks.post([this, now, answer](TimePoint then) { m_hooks.onHold(then, now, answer); });
    });
}

} // namespace fescuegw::arbiter
