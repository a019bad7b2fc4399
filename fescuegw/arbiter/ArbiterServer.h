// The process beside one upstream that serves best-effort jobs: links to entries and the state group, calls to the upstream.
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
    // Where replicas of the state group may be found.
    std::vector<settings::Address> seeds;
    // Between two offers to each entry.
    Duration offerInterval {};
    // Threads that send orders to the upstream.
    size_t orderThreads = 0;
    // A graceful stop ends after this at the latest.
    Duration drainLimit {};
};

// Reads the sections [agent] and [formation]; faults are kept by `document`.
ArbiterSettings readArbiterSettings(settings::Document& document);

// The link thread, which calls `run`, decides; the upstream's threads wait for it.
class ArbiterServer {
public:
    // `connect` returns calls to the upstream over a connection of their own.
    ArbiterServer(ArbiterSettings, const std::function<UpstreamCalls()>& connect, daemon::Metrics&);

    Result<void> start();
    int run();
    // Starts the graceful stop: nothing new, what runs ends, results are handed over.
    void stop();

    // The upstream's account of itself. `accepted` tells whether it was taken over, on the link thread. Thread-safe.
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
    TimePoint m_lastLinked;
    bool m_draining = false;
    TimePoint m_drainUntil;
    std::atomic<bool> m_ready { false };
    bool m_holdFailed = false;
    // When the next hold is to be sent, unless one is under way. The first one falls due at once.
    std::optional<TimePoint> m_holdDue { TimePoint() };

    prometheus::Counter& m_done;
    prometheus::Counter& m_failed;
    prometheus::Counter& m_lost;
    prometheus::Counter& m_notStarted;
    prometheus::Gauge& m_running;
    prometheus::Counter& m_grants;
    prometheus::Histogram& m_run;
};

} // namespace fescuegw::arbiter
