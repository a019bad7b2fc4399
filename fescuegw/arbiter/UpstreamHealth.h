// Ejects an upstream after consecutive task failures, and probes it again after a backoff.
#pragma once

#include <cstdint>
#include <string>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

struct HealthOptions {
    // Consecutive failures of different jobs after which an upstream is ejected. About 0.2% of tasks fail through no fault of the
    // upstream, and a faulty job may fail in all of its tasks.
    uint32_t failureThreshold = 3;
    // Time from an ejection to the first probe; doubles with each failure while ejected, up to `maxBackoff`.
    Duration initialBackoff { std::chrono::milliseconds(400) };
    Duration maxBackoff { std::chrono::milliseconds(3200) };
};

// An upstream that fails every task at once always has free capacity and would attract ever more work. It is ejected, and probed
// with one task at a time until one succeeds. Not thread-safe.
class UpstreamHealth {
public:
    explicit UpstreamHealth(HealthOptions options = {})
        : m_options(options)
    {
    }

    void onSuccess()
    {
        m_consecutiveFailures = 0;
        m_backoff = {};
        m_ejected = false;
    }

    void onFailure(TimePoint now, const std::string& job)
    {
        if (m_ejected) {
            eject(now);
            return;
        }
        if (m_consecutiveFailures > 0 && job == m_lastFailedJob)
            return;
        m_lastFailedJob = job;
        if (++m_consecutiveFailures >= m_options.failureThreshold)
            eject(now);
    }

    // Returns whether another task may start beside `running` others. An ejected upstream admits none until its probe is due,
    // then one at a time.
    bool admits(TimePoint now, size_t running) const { return !m_ejected || (now >= m_probeAt && running == 0); }

    bool ejected() const { return m_ejected; }

private:
    void eject(TimePoint now)
    {
        m_ejected = true;
        m_backoff = m_backoff == Duration() ? m_options.initialBackoff : std::min(2 * m_backoff, m_options.maxBackoff);
        m_probeAt = now + m_backoff;
    }

    HealthOptions m_options;
    uint32_t m_consecutiveFailures = 0;
    std::string m_lastFailedJob;
    bool m_ejected = false;
    Duration m_backoff {};
    TimePoint m_probeAt;
};

} // namespace fescuegw::arbiter
