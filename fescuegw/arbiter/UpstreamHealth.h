// Ejects an upstream by the outcomes of its tasks, and probes it again after a backoff.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

struct HealthOptions {
    // Consecutive failures of different jobs after which an upstream is ejected. About 0.2% of tasks fail through no fault of the
    // upstream, and a faulty job may fail in all of its tasks.
    uint32_t failureThreshold = 3;
    // Share of failed jobs among the last `windowJobs` with which it is ejected, once there are `minJobs`. Callers allow two
    // attempts or more: at a tenth of failures, one task in a hundred fails twice, and one job of eight tasks in twelve.
    uint32_t maxFailedPercent = 20;
    size_t windowJobs = 20;
    size_t minJobs = 10;
    // Successful probes in a row after an ejection by share: with one, an upstream that fails a third would be back in most
    // cases.
    uint32_t probesAfterShare = 3;
    // It is ejected if it comes back, after a crash or a loss of its connections, this many times, each within `flapPeriod` of
    // the one before.
    uint32_t flapThreshold = 2;
    Duration flapPeriod { std::chrono::seconds(5) };
    // Time from an ejection to the first probe; doubles with each failure while ejected, and with each ejection within
    // `calmPeriod` of the end of the last one, up to `maxBackoff`.
    Duration initialBackoff { std::chrono::milliseconds(400) };
    Duration maxBackoff { std::chrono::milliseconds(3200) };
    Duration calmPeriod { std::chrono::seconds(5) };
    // Entries probe with tasks that have a further attempt and time for it. A service may have none, so a probe that has been due
    // for this long may be any task.
    Duration maxProbeWait { std::chrono::seconds(2) };
};

enum class EjectionCause : uint8_t {
    ConsecutiveFailures,
    FailureShare,
    Flapping,
};

constexpr const char* toString(EjectionCause cause)
{
    switch (cause) {
    case EjectionCause::ConsecutiveFailures:
        return "consecutive-failures";
    case EjectionCause::FailureShare:
        return "failure-share";
    case EjectionCause::Flapping:
        break;
    }
    return "flapping";
}

// Handles upstreams that fail all tasks at once, and so always have free capacity and would attract ever more work; those that
// fail a part of them while their health check passes; and those that go down and up by turns. One that is ejected is probed with
// one task at a time until enough of them succeed. Not thread-safe.
class UpstreamHealth {
public:
    explicit UpstreamHealth(HealthOptions options = {})
        : m_options(options)
    {
    }

    // A task of `job` that was started at `startedAt` has succeeded or failed. After an ejection by share or by flapping, only
    // tasks that were started since show whether the upstream has recovered.
    void onSuccess(TimePoint now, const std::string& job, TimePoint startedAt)
    {
        if (m_ejected && m_cause != EjectionCause::ConsecutiveFailures && startedAt <= m_ejectedAt)
            return;
        addOutcome(job, false);
        m_consecutiveFailures = 0;
        if (!m_ejected || --m_probesLeft > 0)
            return;
        m_ejected = false;
        m_acceptedAt = now;
        m_outcomes.clear();
    }

    void onFailure(TimePoint now, const std::string& job, TimePoint startedAt)
    {
        // All tasks of an upstream that fails at once would multiply the backoff.
        if (m_ejected && startedAt <= m_ejectedAt)
            return;
        const bool known = m_consecutiveFailures > 0 && job == m_lastFailedJob;
        addOutcome(job, true);
        m_lastFailedJob = job;
        if (m_ejected)
            eject(now, m_cause);
        else if (!known && ++m_consecutiveFailures >= m_options.failureThreshold)
            eject(now, EjectionCause::ConsecutiveFailures);
        else if (m_outcomes.size() >= m_options.minJobs && failedPercent() >= m_options.maxFailedPercent)
            eject(now, EjectionCause::FailureShare);
    }

    // The upstream is back after a crash or a loss of its connections. One that is ejected by share has to show as many successes
    // as before.
    void onReturn(TimePoint now)
    {
        m_returns = m_returns > 0 && now - m_returnedAt <= m_options.flapPeriod ? m_returns + 1 : 1;
        m_returnedAt = now;
        if (m_returns >= m_options.flapThreshold)
            eject(now, m_ejected && m_cause == EjectionCause::FailureShare ? m_cause : EjectionCause::Flapping);
    }

    // Another process has taken the place of the upstream's: outcomes say nothing about it.
    void onRestart()
    {
        m_outcomes.clear();
        m_consecutiveFailures = 0;
        if (m_cause != EjectionCause::Flapping)
            m_ejected = false;
    }

    // Returns whether another task may start beside `running` others. An ejected upstream admits none until its probe is due,
    // then one at a time.
    bool admits(TimePoint now, size_t running) const { return !m_ejected || (now >= m_probeAt && running == 0); }

    bool isProbeOverdue(TimePoint now) const { return m_ejected && now - m_probeAt >= m_options.maxProbeWait; }

    bool ejected() const { return m_ejected; }
    EjectionCause cause() const { return m_cause; }

    // Returns 0 if the upstream is not ejected, otherwise the share of failed jobs by which it compares with other ejected ones,
    // at least 1.
    uint32_t ejectedPercent() const
    {
        if (!m_ejected)
            return 0;
        return m_cause == EjectionCause::FailureShare ? std::max(failedPercent(), 1U) : 100;
    }

    uint32_t failedPercent() const
    {
        const auto failed = std::count_if(m_outcomes.begin(), m_outcomes.end(), [](const Outcome& it) { return it.failed; });
        return m_outcomes.empty() ? 0 : static_cast<uint32_t>(100 * static_cast<size_t>(failed) / m_outcomes.size());
    }
    size_t countedJobs() const { return m_outcomes.size(); }

private:
    struct Outcome {
        std::string job;
        bool failed = false;
    };

    // A job counts once, and as failed if one of its tasks has failed here.
    void addOutcome(const std::string& job, bool failed)
    {
        const auto it
            = std::find_if(m_outcomes.begin(), m_outcomes.end(), [&](const Outcome& known) { return known.job == job; });
        if (it != m_outcomes.end()) {
            it->failed = it->failed || failed;
            return;
        }
        m_outcomes.push_back({ job, failed });
        if (m_outcomes.size() > m_options.windowJobs)
            m_outcomes.pop_front();
    }

    void eject(TimePoint now, EjectionCause cause)
    {
        const bool again = m_ejected || (m_backoff > Duration() && now - m_acceptedAt < m_options.calmPeriod);
        m_backoff = again ? std::min(2 * m_backoff, m_options.maxBackoff) : m_options.initialBackoff;
        m_ejected = true;
        m_ejectedAt = now;
        m_cause = cause;
        m_probesLeft = cause == EjectionCause::FailureShare ? m_options.probesAfterShare : 1;
        m_probeAt = now + m_backoff;
    }

    HealthOptions m_options;
    std::deque<Outcome> m_outcomes;
    uint32_t m_consecutiveFailures = 0;
    std::string m_lastFailedJob;
    bool m_ejected = false;
    TimePoint m_ejectedAt;
    EjectionCause m_cause = EjectionCause::ConsecutiveFailures;
    uint32_t m_probesLeft = 0;
    Duration m_backoff {};
    TimePoint m_probeAt;
    // When the last ejection ended.
    TimePoint m_acceptedAt;
    uint32_t m_returns = 0;
    TimePoint m_returnedAt;
};

} // namespace fescuegw::arbiter
