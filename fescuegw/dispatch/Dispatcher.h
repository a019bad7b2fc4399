// All services of one entry: ownership, configuration, known agents, and routing of messages to the service concerned.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <control.pb.h>
#include <dispatch.pb.h>

#include "fescuegw/dispatch/ServiceDispatcher.h"

namespace fescuegw::dispatch {

// Tracks the view of the replicated state and holds one ServiceDispatcher for each service that this entry owns. Not
// thread-safe: confined to the entry's link thread.
class Dispatcher {
public:
    Dispatcher(DispatchOptions, DispatchHooks);

    // Applies a view. Views with a lower revision than the current one are ignored, so that state never regresses.
    void onView(TimePoint now, const wire::View&);

    void onAgentMessage(TimePoint now, const wire::AgentToEntry&);
    void onUndeliverable(TimePoint now, const AgentId&, const wire::EntryToAgent&);
    void tick(TimePoint now);
    void flush(TimePoint now);

    // Returns whether a view has been received. Until then no request may be served.
    bool hasView() const { return m_hasView; }
    const wire::View& view() const { return m_view; }

    // Returns the owner of `service`, or "" if none is known.
    std::string owner(const std::string& service) const;
    // Returns the configuration of the team, or null if it has none.
    const wire::TeamConfiguration* team(const std::string& name) const;
    // Returns the dispatcher of `service`, or null if this entry does not own it.
    ServiceDispatcher* owned(const std::string& service);
    const std::map<std::string, std::unique_ptr<ServiceDispatcher>>& services() const { return m_services; }

    // Returns the latest report of every agent whose report is at most `maximumAge` old.
    std::vector<wire::AgentReport> agents(TimePoint now, Duration maximumAge) const;

private:
    struct KnownAgent {
        wire::AgentReport report;
        TimePoint reported;
    };

    void updateOwnership(TimePoint now);
    std::set<AgentId> enrolled(const std::string& service) const;

    DispatchOptions m_options;
    DispatchHooks m_hooks;
    wire::View m_view;
    bool m_hasView = false;
    std::map<std::string, std::unique_ptr<ServiceDispatcher>> m_services;
    std::map<AgentId, KnownAgent> m_agents;
};

} // namespace fescuegw::dispatch
