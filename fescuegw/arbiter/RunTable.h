// Admission control for one upstream: decides when each task starts and tracks the state of each run.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <direct.pb.h>

#include "fescuegw/arbiter/AnnouncementBook.h"
#include "fescuegw/arbiter/GrantBook.h"
#include "fescuegw/arbiter/ReplyLoss.h"
#include "fescuegw/arbiter/Slowness.h"
#include "fescuegw/arbiter/Upstream.h"
#include "fescuegw/arbiter/UpstreamClock.h"
#include "fescuegw/arbiter/UpstreamHealth.h"
#include "fescuegw/arbiter/WarmUp.h"

namespace fescuegw::arbiter {

// docs/PLATFORM.md derives the bounds that follow from these leases.
struct RunTableOptions {
    // The runs of an entry that has sent nothing for this long are stopped: it may be dead, and its callers retry elsewhere.
    Duration entryLease { std::chrono::milliseconds(700) };
    // Lease of a run at the upstream; ends the run if this agent dies or hangs.
    Duration upstreamLease { std::chrono::milliseconds(450) };
    // The longest lease that the upstream grants. An order by the clock of the known process may reach the next one, which has
    // another clock.
    Duration maxUpstreamLease { std::chrono::milliseconds(1000) };
    // Nothing is started when the last listing is older than this. Exceeds the wait of a hold plus its round trip.
    Duration listingTimeout { std::chrono::milliseconds(400) };
    // Interval after which a stop order is sent again: one that was answered and has had no effect, and one without an answer.
    // The second is not zero, since an upstream that is down refuses connections at once.
    Duration stopRetryInterval { std::chrono::milliseconds(150) };
    Duration unansweredStopRetryInterval { std::chrono::milliseconds(30) };
    // Time that a stop may take before leases are no longer renewed, so that the run ends with its lease. Those of an entry whose
    // own lease is over have none.
    Duration stopGrace { std::chrono::milliseconds(500) };
    // Time for which a hold (long poll) waits for a run to end, with and without runs in progress.
    Duration holdWait { std::chrono::milliseconds(100) };
    Duration idleHoldWait { std::chrono::milliseconds(200) };
    // Wait of a hold during `lossyPeriod` after a hold without an answer. While answers get lost, the end of a run is noticed
    // after this wait plus the time-out of an answer.
    Duration lossyHoldWait { std::chrono::milliseconds(10) };
    Duration lossyPeriod { std::chrono::milliseconds(1000) };
    // A start without an answer is retried this many times under the same run number.
    uint32_t maxStartRetries = 2;
    GrantOptions grants;
};

struct RunTableHooks {
    std::function<void(uint64_t serial, const StartOrder&)> start;
    std::function<void(const StopOrder&)> stop;
    // `entry` is the identity of the process that asked for the attempt.
    std::function<void(const std::string& entry, const wire::AttemptReport&)> report;
    std::function<void(const GrantBook::Granted&)> grant;
    // For all entries.
    std::function<void(TimePoint now, const wire::AttemptReport&)> broadcast;
    std::function<void(EjectionCause)> ejected {};
};

// Arbitrates the capacity of one upstream among all entries. Runs never exceed the announced capacity: resources are reserved
// when a start is sent, and released when the end is listed or it is certain that nothing runs. A task that doesn't fit is
// rejected at once and queues at its entry. Not thread-safe.
class RunTable {
public:
    RunTable(RunTableOptions, uint64_t fence, RunTableHooks);

    // Returns false, without effect, for an announcement that is not newer than the last one of its sender. It says what the
    // process that is there offers, if that one has sent it; only a listing tells which process is there.
    bool onAnnouncement(TimePoint now, const Announcement&);
    // A process of this name says that it has shut down gracefully.
    void onDeparture(TimePoint now, const std::string& instance);

    // Applies the starts, stops and demand of an entry and renews its lease.
    void onEntry(TimePoint now, const wire::EntryToUpstream&);

    void onStartReply(TimePoint now, uint64_t serial, StartVerdict);
    // A stop order is complete. Without an answer it is sent again.
    void onStopReply(TimePoint now, const StopOrder&, bool answered);
    // `sent` is when the hold that returned the listing was sent.
    void onListing(TimePoint now, TimePoint sent, const Listing&);
    void onHoldFailure(TimePoint now, HoldFailure);

    // Returns the next hold to send.
    HoldOrder nextHold(TimePoint now);

    // Expires leases and issues grants.
    void tick(TimePoint now);

    // Stops accepting starts; present runs continue.
    void drain(TimePoint now);
    // Replaces the failure domains on whose upstreams nothing may be started. Present runs continue.
    void setDrainedDomains(TimePoint now, std::set<std::string> domains);
    bool isDomainDrained() const { return m_announcement && m_drainedDomains.contains(m_announcement->domain); }

    wire::UpstreamOffer offer(TimePoint now) const;
    const std::optional<Announcement>& announcement() const { return m_announcement; }
    size_t running() const { return m_runs.size(); }
    bool ejected() const { return m_health.ejected(); }
    bool accepting(TimePoint now) const;

private:
    enum class State : uint8_t {
        // Start sent; resources are reserved.
        Starting,
        Running,
        // Stop sent; resources are still reserved.
        Stopping,
    };

    // Stop orders for one run, of which one at a time is on its way.
    struct Stop {
        bool inFlight = false;
        // The next order is due then, unless the run has ended.
        TimePoint due;
    };

    // A run that this process did not start.
    struct Orphan {
        Stop stop;
        // Its longest lease is over then, unless a listing shows it again.
        TimePoint goneAt;
    };

    struct Run {
        std::string entry;
        wire::StartTask request;
        StepTask task;
        Resources need;
        State state = State::Starting;
        TimePoint receivedAt;
        TimePoint startBy;
        uint64_t run = 0;
        uint32_t sendCount = 0;
        // A send of the start had no answer, so the task may run whatever the other sends are answered.
        bool mayRun = false;
        // Sends of the start that are not complete yet, and when the last one was.
        uint32_t sendsInFlight = 0;
        TimePoint repliedAt;
        // Later listings cannot show whether the task has run: a row that could not be read may have been its end.
        bool mayHaveEnded = false;
        // A listing of the known process has shown the run.
        bool listed = false;
        // The upstream has restarted since the start was sent, and either process may have carried it out.
        bool processUnknown = false;
        // The process that crashed when it may have had the run.
        std::optional<uint64_t> crashedProcess;
        TimePoint sentAt;
        // Of the last send.
        uint64_t fence = 0;
        uint64_t process = 0;
        // Of the last send: on the upstream's clock, and when it is certain to be over.
        uint64_t leaseUntilMs = 0;
        TimePoint leaseOverAt;
        bool confirmed = false;
        TimePoint confirmedAt;
        uint32_t percent = 0;
        Stop stop;
        std::string stopReason;
        // With `Stopping`: the lease is not renewed from then on.
        TimePoint notRenewedFrom;
    };

    // Identifies an attempt among those of all entries.
    struct EntryAttempt {
        std::string entry;
        StepTask task;
        uint32_t number = 0;

        friend auto operator<=>(const EntryAttempt&, const EntryAttempt&) = default;
    };

    using Runs = std::map<uint64_t, Run>;
    using RunId = std::pair<StepTask, uint64_t>;

    void onStart(TimePoint now, const std::string& entry, const wire::StartTask&);
    void onStop(TimePoint now, const std::string& entry, const wire::AttemptKey&);
    void settle(TimePoint now, const std::string& entry, const wire::AttemptKey&);
    void forgetSettled(TimePoint now);
    void beginIncarnation(TimePoint now, uint64_t bornMs);
    void adoptAnnouncement();
    void endProcess(TimePoint now);
    void reportCrash(TimePoint now, const wire::AttemptKey&, uint64_t process);
    static bool isKnownToBeThere(const Run&);
    bool isAbsent(const Run&, TimePoint sent, const Listing&) const;
    void endAbsent(TimePoint now, Runs::iterator);
    Runs::iterator find(const StepTask&, uint64_t run);
    void confirm(TimePoint now, Run&);
    void applyEnd(TimePoint now, const EndedRow&);
    void recordSuccess(TimePoint now, const Run&);
    void recordFailure(TimePoint now, const Run&);
    void reportEjection();
    void onReturn(TimePoint now);
    void applyRunning(TimePoint now, TimePoint sent, const Listing&);
    void applyOrphans(TimePoint now, const std::vector<RunId>& listed, const Listing&);
    void finish(TimePoint now, Runs::iterator, wire::AttemptState, const std::string& reason);
    void sendStart(TimePoint now, uint64_t serial, Run&);
    void beginStop(TimePoint now, Run&, const std::string& reason, Duration grace);
    void sendDueStop(TimePoint now, const RunId&, Stop&);
    void sendDueStops(TimePoint now);
    void loseUpstream(TimePoint now, const std::string& reason);
    void onOtherProcess(TimePoint now, uint64_t process);
    void fenceOff(uint64_t fence);
    // Returns the name of the known process, or an empty string while that is not known.
    std::string knownInstance() const;
    void updateRenewal(TimePoint now);
    bool mayResend(TimePoint now, const Run&) const;
    void retryOrGiveUp(TimePoint now, Runs::iterator, const std::string& reason);
    void giveUpStart(TimePoint now, Runs::iterator, const std::string& reason);
    Duration startLease(TimePoint now) const;
    void onLeaseGiven(TimePoint now);
    void expireUpstreamLeases(TimePoint now);
    void enforceEntryLeases(TimePoint now);
    void issueGrants(TimePoint now);
    void logDomainDrain();
    std::string refusalReason(TimePoint now, const Run&);
    // Returns the resources that are neither reserved by runs nor granted.
    Resources free(TimePoint now) const;
    // Whether nothing runs and nothing is granted. A single task then may use the whole capacity, since it may need more than
    // the first step of the warm-up.
    bool isUnused() const;
    uint64_t nextRunNumber(TimePoint now, const StepTask&, uint32_t attempt);

    RunTableOptions m_options;
    RunTableHooks m_hooks;
    uint64_t m_fence;
    AnnouncementBook m_announcements;
    // Of the known process, or of an earlier one while the known one has sent none.
    std::optional<Announcement> m_announcement;
    // Start time of the process that has given the last listing.
    uint64_t m_bornMs = 0;
    // An announcement claims that another process than the known one is there, so the next hold asks which one is.
    std::optional<uint64_t> m_claimedBornMs;
    // Another process than the announced one has refused an order, so orders name none until the next announcement.
    bool m_instanceOutdated = false;
    TimePoint m_instanceOutdatedAt;
    // The process for which the hold in flight is meant, and its fencing token.
    uint64_t m_holdProcess = 0;
    uint64_t m_holdFence = 0;
    // Its wait.
    Duration m_holdWait {};
    UpstreamClock m_clock;
    UpstreamHealth m_health;
    Slowness m_slowness;
    ReplyLoss m_replyLoss;
    GrantBook m_grants;
    Runs m_runs;
    uint64_t m_lastSerial = 0;
    std::map<std::string, TimePoint> m_entryLeases;
    // The last run number of recent tasks; the upstream refuses numbers that are not higher.
    std::map<StepTask, std::pair<uint64_t, TimePoint>> m_runNumbers;
    // Attempts whose final report was given within `settledRetention`, and the order in which they are forgotten.
    std::set<EntryAttempt> m_settled;
    std::deque<std::pair<TimePoint, EntryAttempt>> m_settledOrder;
    uint64_t m_acknowledged = 0;
    // Listed runs that this process did not start. No entry waits for them, and their resource needs are unknown.
    std::map<RunId, Orphan> m_orphans;
    // When the runs that an earlier agent has left are gone in any case, and whether a listing without unreadable rows has shown
    // them.
    std::optional<TimePoint> m_foreignRunsGoneAt;
    bool m_foreignRunsKnown = false;
    // Leases are not renewed, since a run that should have ended is still listed.
    bool m_renewalWithheld = false;
    std::optional<TimePoint> m_lastListingAt;
    // When the last listing of the known process was handled.
    TimePoint m_lastListingHandledAt;
    std::optional<TimePoint> m_holdFailedAt;
    // When the last lease that this agent has given is over: at the known process, and at any.
    TimePoint m_leasesExpireAt;
    TimePoint m_longestLeasesExpireAt;
    // Attempts that were lost while the upstream was out of reach: it may have crashed under them.
    std::vector<wire::AttemptKey> m_possiblyCrashed;
    std::set<std::string> m_drainedDomains;
    WarmUp m_warmUp;
    // There has been no listing since a hold failed, or an order met another process.
    bool m_holdFailed = false;
    // Since the last listing, the known process has refused connections or has ended. Silence alone may be due to lost answers.
    bool m_wentDown = false;
    bool m_departed = false;
    bool m_draining = false;
    // The last value of `isDomainDrained` that was logged.
    bool m_drainLogged = false;
};

} // namespace fescuegw::arbiter
