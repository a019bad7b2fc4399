// All services of one entry: which it owns, what it knows of configuration and agents, and where each caller's request goes.
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

// Follows the view of the replicated state and keeps one ServiceDispatcher for each service that this entry owns. Not
// thread-safe: the entry's link thread owns it.
class Dispatcher {
public:
    Dispatcher(DispatchOptions, DispatchHooks);

    // Takes over a view. Older views are ignored: what is in force never goes back.
    void onView(TimePoint now, const wire::View&);

    void onAgentMessage(TimePoint now, const wire::AgentToEntry&);
    void onUndeliverable(TimePoint now, const AgentId&, const wire::EntryToAgent&);
    void tick(TimePoint now);
    void flush(TimePoint now);

    // Returns whether a view has been received: before that nothing may be served.
    bool hasView() const { return m_hasView; }
    const wire::View& view() const { return m_view; }

    // Returns the owner of `service`, or "" when none is known.
    std::string owner(const std::string& service) const;
    // Returns the team's configuration, or null.
    const wire::TeamConfiguration* team(const std::string& name) const;
    // Returns the service that this entry owns, or null.
    ServiceDispatcher* owned(const std::string& service);
    const std::map<std::string, std::unique_ptr<ServiceDispatcher>>& services() const { return m_services; }

    // Returns the last report of every agent heard of within the last `maximumAge`.
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
