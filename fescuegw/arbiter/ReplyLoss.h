// Delay that unanswered orders of an upstream cause.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

// Handles an upstream that leaves part of its orders unanswered, or whose answers get lost, while its tasks succeed. Its capacity
// is worth having, but a start or an end that is not answered is known only after a time-out, so it is used after others. Not
// thread-safe.
class ReplyLoss {
public:
    void onReply(TimePoint now, bool answered)
    {
        decay(now);
        m_orders = m_orders * decayPerOrder + 1;
        m_unanswered = m_unanswered * decayPerOrder + (answered ? 0 : 1);
    }

    // Returns the delay to be expected of a task.
    Duration expectedDelay(TimePoint now) const
    {
        const double left = remaining(now);
        const double share = m_unanswered * left / (m_orders * left + priorOrders);
        return Duration(static_cast<int64_t>(share * static_cast<double>(delayWhenUnanswered.count())));
    }

    void reset() { *this = ReplyLoss(); }

private:
    // An upstream that is not used for its delay sends no answers that would show its recovery, so knowledge of it ages.
    double remaining(TimePoint now) const
    {
        // A time before the last update would let the knowledge grow.
        const Duration age = std::max(now - m_updatedAt, Duration());
        return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
    }

    void decay(TimePoint now)
    {
        const double left = remaining(now);
        m_orders *= left;
        m_unanswered *= left;
        m_updatedAt = now;
    }

    // Window of about twenty orders.
    static constexpr double decayPerOrder = 0.95;
    // Weight, in orders, of the assumption that all are answered: a single one without an answer means little.
    static constexpr double priorOrders = 3;
    static constexpr Duration halfLife = std::chrono::seconds(1);
    // The time-outs of a start and of the hold that would show its end.
    static constexpr Duration delayWhenUnanswered = std::chrono::milliseconds(150);

    double m_orders = 0;
    double m_unanswered = 0;
    TimePoint m_updatedAt;
};

} // namespace fescuegw::arbiter
