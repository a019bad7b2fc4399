// An agent's decisions about its upstream's room: which task starts when, and what is certain about each run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <direct.pb.h>

#include "fescuegw/arbiter/GrantBook.h"
#include "fescuegw/arbiter/Slowness.h"
#include "fescuegw/arbiter/Upstream.h"
#include "fescuegw/arbiter/UpstreamClock.h"
#include "fescuegw/arbiter/UpstreamHealth.h"

namespace fescuegw::arbiter {

// docs/PLATFORM.md works out what these leases bound together.
struct RunTableOptions {
    // An entry that was not heard for this long has its runs stopped: it may be dead, and its callers send again elsewhere.
    Duration entryLease { std::chrono::milliseconds(700) };
    // The lease that runs hold at the upstream, in case this agent dies or stands still.
    Duration upstreamLease { std::chrono::milliseconds(450) };
    // Without a listing for this long nothing is started. Longer than a hold's wait and its way.
    Duration listingAge { std::chrono::milliseconds(400) };
    // An order to stop that has shown no effect is repeated.
    Duration stopRepeat { std::chrono::milliseconds(150) };
    // How long a hold waits for something to end.
    Duration holdWait { std::chrono::milliseconds(100) };
    Duration idleHoldWait { std::chrono::milliseconds(200) };
    // The same while answers get lost: how late an end is seen is then this wait and the time after which an answer is given
    // up. For this long after a hold without an answer.
    Duration doubtedHoldWait { std::chrono::milliseconds(10) };
    Duration doubt { std::chrono::milliseconds(1000) };
    // A start without an answer is sent again this often under the same number.
    uint32_t startRepeats = 2;
    GrantOptions grants;
};

struct RunTableHooks {
    std::function<void(uint64_t serial, const StartOrder&)> start;
    std::function<void(const StopOrder&)> stop;
    // `entry` is the identity of the process that asked for the attempt.
    std::function<void(const std::string& entry, const wire::AttemptReport&)> report;
    std::function<void(const std::string& entry, const wire::Grant&)> grant;
};

// Arbitrates the room of one upstream among all entries. Nothing starts beyond the capacity that it announced: room is taken
// when a start is sent, and given back when the end is listed or it is certain that nothing runs. What finds no room is given
// back at once; it waits at its entry. Not thread-safe.
class RunTable {
public:
    RunTable(RunTableOptions, uint64_t fence, RunTableHooks);

    // Returns false for an announcement that is older than what is known.
    bool onAnnouncement(TimePoint now, const Announcement&);
    // The upstream has ended in order.
    void onDeparture(TimePoint now, const std::string& instance);

    // An entry's message: starts, stops, and its lease.
    void onEntry(TimePoint now, const wire::EntryToUpstream&);

    void onStartReply(TimePoint now, uint64_t serial, StartVerdict, std::optional<uint64_t> clockMs);
    // `sent` is when the hold that brought the listing was sent.
    void onListing(TimePoint now, TimePoint sent, const Listing&);
    // A hold failed or was refused.
    void onHoldFailure(TimePoint now, bool fenced);

    // Returns the next hold to send.
    HoldOrder nextHold(TimePoint now);

    // Ends leases that have run out, and grants room.
    void tick(TimePoint now);

    // Starts nothing more.
    void drain(TimePoint now);

    wire::UpstreamOffer offer(TimePoint now) const;
    const std::optional<Announcement>& announcement() const { return m_announcement; }
    size_t running() const { return m_runs.size(); }
    bool accepting(TimePoint now) const;

private:
    enum class State : uint8_t {
        // Ordered; room is taken.
        Starting,
        Running,
        // Ordered to stop; room is still taken.
        Stopping,
    };

    struct Run {
        std::string entry;
        wire::StartTask request;
        StepTask task;
        Resources need;
        State state = State::Starting;
        TimePoint received;
        TimePoint startBy;
        uint64_t run = 0;
        uint32_t sends = 0;
        TimePoint sentAt;
        uint64_t leaseUntilMs = 0;
        bool confirmed = false;
        TimePoint confirmedAt;
        uint32_t percent = 0;
        TimePoint stopSent;
        std::string stopReason;
    };

    using Runs = std::map<uint64_t, Run>;

    void onStart(TimePoint now, const std::string& entry, const wire::StartTask&);
    void onStop(TimePoint now, const std::string& entry, const wire::AttemptKey&);
    void enterLife(TimePoint now, uint64_t bornMs);
    void forgetRuns(TimePoint now, const std::string& reason);
    Runs::iterator find(const StepTask&, uint64_t run);
    void confirm(TimePoint now, Run&);
    void applyEnd(TimePoint now, const EndedRow&);
    void applyRunning(TimePoint now, TimePoint sent, const Listing&);
    void stopForeign(TimePoint now, const std::vector<const RunningRow*>&);
    void finish(TimePoint now, Runs::iterator, wire::AttemptState, const std::string& reason);
    void order(TimePoint now, uint64_t serial, Run&);
    void stop(TimePoint now, Run&, const std::string& reason);
    void repeatOrGiveUp(TimePoint now, Runs::iterator, const std::string& reason);
    void lapse(TimePoint now);
    void expire(TimePoint now);
    void grantRoom(TimePoint now);
    std::string refusal(TimePoint now, const Run&);
    // Returns what is neither taken nor granted.
    Resources free() const;
    uint64_t nextRunNumber(TimePoint now, const StepTask&, uint32_t attempt);

    RunTableOptions m_options;
    RunTableHooks m_hooks;
    uint64_t m_fence;
    std::optional<Announcement> m_announcement;
    uint64_t m_bornMs = 0;
    UpstreamClock m_clock;
    UpstreamHealth m_health;
    Slowness m_slowness;
    GrantBook m_grants;
    Runs m_runs;
    uint64_t m_lastSerial = 0;
    std::map<std::string, TimePoint> m_entryLeases;
    // The last run number of recent tasks, since the upstream refuses numbers that are not higher.
    std::map<StepTask, std::pair<uint64_t, TimePoint>> m_runNumbers;
    uint64_t m_acknowledged = 0;
    size_t m_foreign = 0;
    TimePoint m_foreignStopped;
    std::optional<TimePoint> m_listedAt;
    std::optional<TimePoint> m_holdFailedAt;
    TimePoint m_lapseAt;
    bool m_departed = false;
    bool m_draining = false;
};

} // namespace fescuegw::arbiter
