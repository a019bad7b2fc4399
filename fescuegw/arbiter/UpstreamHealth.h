// Whether an upstream is to be trusted with tasks, judged by how they end.
#pragma once

#include <cstdint>
#include <string>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

struct HealthOptions {
    // Failures in a row, of different jobs, that eject an upstream. Single tasks fail by their own fault (some 0.2%), and all
    // tasks of a hopeless job do.
    uint32_t failures = 3;
    // Pause before the first probe after an ejection; doubles with each failed probe.
    Duration firstPause { std::chrono::milliseconds(400) };
    Duration longestPause { std::chrono::milliseconds(3200) };
};

// Answers the pattern of an upstream that fails all it starts and would attract ever more work, being always free: it is
// ejected, and tried again with one task at a time. Not thread-safe.
class UpstreamHealth {
public:
    explicit UpstreamHealth(HealthOptions options = {})
        : m_options(options)
    {
    }

    void onDone()
    {
        m_failures = 0;
        m_pause = {};
        m_ejected = false;
    }

    void onFailure(TimePoint now, const std::string& job)
    {
        if (m_ejected) {
            eject(now);
            return;
        }
        if (m_failures > 0 && job == m_lastJob)
            return;
        m_lastJob = job;
        if (++m_failures >= m_options.failures)
            eject(now);
    }

    // Returns how many tasks may run beside `running` others: one while it is on probation, none right after an ejection.
    bool admits(TimePoint now, size_t running) const { return !m_ejected || (now >= m_probeAt && running == 0); }

    bool ejected() const { return m_ejected; }

private:
    void eject(TimePoint now)
    {
        m_ejected = true;
        m_pause = m_pause == Duration() ? m_options.firstPause : std::min(2 * m_pause, m_options.longestPause);
        m_probeAt = now + m_pause;
    }

    HealthOptions m_options;
    uint32_t m_failures = 0;
    std::string m_lastJob;
    bool m_ejected = false;
    Duration m_pause {};
    TimePoint m_probeAt;
};

} // namespace fescuegw::arbiter
