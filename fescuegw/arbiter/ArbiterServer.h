// Agent process of one upstream for best-effort jobs: links to entries and the state group, and calls to the upstream.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/arbiter/EntryLinks.h"
#include "fescuegw/arbiter/RunTable.h"
#include "fescuegw/arbiter/UpstreamLink.h"
#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/group/GroupLink.h"
#include "fescuegw/net/Hub.h"

namespace fescuegw::arbiter {

struct ArbiterSettings {
    daemon::ProcessSettings process;
    // Addresses at which replicas of the state group may be reached.
    std::vector<settings::Address> seeds;
    EntryLinksOptions links;
    RunTableOptions runs;
    // Threads that send orders to the upstream.
    size_t orderThreads = 0;
    // Upper bound on the duration of a graceful stop.
    Duration drainLimit {};
};

// Reads the sections [agent] and [formation]; errors are recorded in `document`.
ArbiterSettings readArbiterSettings(settings::Document& document);

// All decisions are made on the link thread, which calls `run`; blocking calls to the upstream have threads of their own.
class ArbiterServer {
public:
    // `connect` returns a set of calls to the upstream with its own connection.
    ArbiterServer(ArbiterSettings, const std::function<UpstreamCalls()>& connect, daemon::Metrics&);

    Result<void> start();
    int run();
    // Starts the graceful stop: refuses new runs, waits for present ones to end and for their reports to be acknowledged.
    void stop();

    // Applies an announcement of the upstream. `accepted` is called on the link thread, with false for an outdated one.
    // Thread-safe.
    void announce(Announcement, std::function<void(bool accepted)> accepted);
    void depart(std::string instance);

    void updateSeeds(const std::vector<settings::Address>&);
    bool ready() const { return m_ready; }

private:
    void onMessage(TimePoint now, const net::Peer&, const std::string&);
    void onBatchEnd(TimePoint now);
    void onView(TimePoint now, const wire::View&);
    void report(const std::string& entry, const wire::AttemptReport&);
    bool drained(TimePoint now) const;

    ArbiterSettings m_settings;
    AgentId m_identity;
    std::function<UpstreamCalls()> m_connect;
    RunTable m_table;
    std::unique_ptr<net::Hub> m_hub;
    std::unique_ptr<group::GroupLink> m_state;
    std::unique_ptr<UpstreamLink> m_upstream;
    EntryLinks m_links;
    TimePoint m_lastEntryAddedAt;
    bool m_draining = false;
    TimePoint m_drainDeadline;
    std::atomic<bool> m_ready { false };
    bool m_holdFailed = false;
    // Time of the next hold; empty while one is in flight. The first one is due at once.
    std::optional<TimePoint> m_nextHoldAt { TimePoint() };

    prometheus::Counter& m_done;
    prometheus::Counter& m_failed;
    prometheus::Counter& m_lost;
    prometheus::Counter& m_notStarted;
    prometheus::Gauge& m_running;
    prometheus::Gauge& m_drained;
    prometheus::Gauge& m_ejected;
    // By cause.
    std::vector<prometheus::Counter*> m_ejections;
    // By priority.
    std::vector<prometheus::Counter*> m_grants;
    prometheus::Histogram& m_run;
};

} // namespace fescuegw::arbiter
