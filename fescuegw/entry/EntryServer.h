// The entry process: HTTP servers for callers and operators, and links to agents, other entries and the state group.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/dispatch/Dispatcher.h"
#include "fescuegw/entry/CallRouter.h"
#include "fescuegw/group/GroupLink.h"
#include "fescuegw/net/Hub.h"
#include "fescuegw/trace/Trace.h"

namespace fescuegw::entry {

struct EntrySettings {
    daemon::ProcessSettings process;
    // Address for links from agents and other entries.
    settings::Address listen;
    // Address of the HTTP server for callers.
    settings::Address callerAddress;
    uint32_t callerThreads = 0;
    uint32_t callerConnections = 0;
    std::string operatorToken;
    // Addresses of the state group's replicas, by id.
    std::map<uint64_t, settings::Address> replicas;
    Duration balancerGrace {};
    Duration drainLimit {};
};

// Reads the settings of fescuegw-entry. Errors are recorded in `document`.
EntrySettings readEntrySettings(settings::Document& document);

// HTTP threads parse requests and post them to the link thread, which is the thread that calls `run`. It processes requests
// and sends messages.
class EntryServer {
public:
    EntryServer(EntrySettings, daemon::Metrics&);

    Result<void> start();
    int run();
    // Starts a graceful shutdown: reports not ready, hands services over and answers calls in flight.
    void stop();

private:
    struct Gauges;

    // Called on the link thread.
    void onMessage(TimePoint now, const net::Peer&, const std::string&);
    void onUndeliverable(TimePoint now, const net::Peer&, const std::string&);
    void onBatchEnd(TimePoint now);
    void onForward(TimePoint now, const net::Peer&, const wire::ForwardRequest&);
    void connectEntries(const wire::View&);
    void sendEnvelope(const net::Peer&, const wire::EntryEnvelope&);
    void updateMetrics(TimePoint now);
    // Advances the graceful shutdown. Returns whether the process may stop.
    bool advanceDrain(TimePoint now);
    wire::EntryInfo self() const;

    // Called on HTTP threads.
    void handleCaller(http::Request, const http::Responder&);
    void handleOperator(const http::Request&, const http::Responder&);
    bool isOperator(const http::Request&) const;

    // Operators' requests, handled on the link thread.
    void applyQuestionnaire(TimePoint now, const wire::ApplyConfiguration&, const http::Responder&);
    void answerStatus(TimePoint now, const http::Responder&);
    void replaceReplica(TimePoint now, const wire::MembershipRequest&, const http::Responder&);
    void answerTeam(const std::string& team, const http::Responder&);

    EntrySettings m_settings;
    std::string m_identity;
    trace::Recorder m_recorder;
    daemon::Metrics& m_metrics;
    std::unique_ptr<net::Hub> m_hub;
    std::unique_ptr<group::GroupLink> m_group;
    group::StateClient* m_state = nullptr;
    std::unique_ptr<dispatch::Dispatcher> m_dispatcher;
    std::unique_ptr<CallRouter> m_router;
    std::unique_ptr<http::Server> m_callerServer;
    std::unique_ptr<http::Server> m_operatorServer;
    std::shared_ptr<Gauges> m_gauges;
    std::map<std::string, std::string> m_entryLinks;
    std::atomic<bool> m_ready { false };
    bool m_draining = false;
    bool m_quiesced = false;
    TimePoint m_quiesceAt;
    TimePoint m_drainDeadline;
    TimePoint m_nextMetricsUpdate;
};

} // namespace fescuegw::entry
