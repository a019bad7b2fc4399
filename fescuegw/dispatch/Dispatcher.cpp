#include "fescuegw/dispatch/Dispatcher.h"

#include "fescuegw/logging/Log.h"

namespace fescuegw::dispatch {

namespace {

    constexpr Duration agentRetention = std::chrono::seconds(60);

} // namespace

Dispatcher::Dispatcher(DispatchOptions options, DispatchHooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
{
}

void Dispatcher::onView(TimePoint now, const wire::View& view)
{
    if (m_hasView && view.revision() < m_view.revision())
        return;
    if (view.configuration_version() != m_view.configuration_version())
        logging::Event(logging::Level::Info, "configuration_in_force").with("version", view.configuration_version());
    m_view = view;
    m_hasView = true;
    updateOwnership(now);
}

void Dispatcher::updateOwnership(TimePoint now)
{
    for (const auto& it : m_view.ownerships()) {
        const auto found = m_services.find(it.service());
        const bool mine = it.owner() == m_options.entry;
        const bool current = found != m_services.end() && found->second->epoch() == it.epoch();
        if (found != m_services.end() && !(mine && current)) {
            logging::Event(logging::Level::Info, "service_relinquished")
                .with("service", it.service())
                .with("epoch", found->second->epoch());
            const std::unique_ptr<ServiceDispatcher> former = std::move(found->second);
            m_services.erase(found);
            former->relinquish();
        }
        if (!mine || current)
            continue;
        auto service
            = std::make_unique<ServiceDispatcher>(now, m_options, it.service(), it.epoch(), enrolled(it.service()), m_hooks);
        ServiceDispatcher& added = *m_services.try_emplace(it.service(), std::move(service)).first->second;
        for (const auto& agent : m_agents)
            if (agent.second.report.service() == it.service() && now - agent.second.reported < agentRetention)
                added.onReport(now, agent.first, agent.second.report);
    }
    for (const auto& it : m_services)
        it.second->setConfigurationVersion(m_view.configuration_version());
}

std::set<AgentId> Dispatcher::enrolled(const std::string& service) const
{
    std::set<AgentId> agents;
    for (const auto& it : m_view.enrolments())
        if (it.service() == service)
            agents.insert(AgentId { it.agent(), it.incarnation() });
    return agents;
}

void Dispatcher::onAgentMessage(TimePoint now, const wire::AgentToEntry& message)
{
    const AgentId agent { message.agent(), message.incarnation() };
    if (message.has_report())
        m_agents[agent] = KnownAgent { message.report(), now };
    const auto known = m_agents.find(agent);
    if (known == m_agents.end())
        return;
    ServiceDispatcher* service = owned(message.has_held() ? message.held().service() : known->second.report.service());
    if (service == nullptr)
        return;
    if (message.has_held())
        service->onHeld(now, agent, message.held());
    if (message.results_size() > 0)
        service->onResults(now, agent, { message.results().begin(), message.results().end() });
    // A report in the same message as results describes the agent after those results, so the results are applied first.
    if (message.has_report())
        service->onReport(now, agent, message.report());
}

void Dispatcher::onUndeliverable(TimePoint now, const AgentId& agent, const wire::EntryToAgent& message)
{
    ServiceDispatcher* service = owned(message.service());
    if (service != nullptr && service->epoch() == message.epoch())
        service->onUndeliverable(now, agent, message);
}

void Dispatcher::tick(TimePoint now)
{
    for (const auto& it : m_services)
        it.second->tick(now);
    std::erase_if(m_agents, [now](const auto& it) { return now - it.second.reported > agentRetention; });
}

void Dispatcher::flush(TimePoint now)
{
    for (const auto& it : m_services)
        it.second->flush(now);
}

std::string Dispatcher::owner(const std::string& service) const
{
    for (const auto& it : m_view.ownerships())
        if (it.service() == service)
            return it.owner();
    return "";
}

const wire::TeamConfiguration* Dispatcher::team(const std::string& name) const
{
    for (const auto& it : m_view.teams())
        if (it.team() == name)
            return &it;
    return nullptr;
}

ServiceDispatcher* Dispatcher::owned(const std::string& service)
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second.get();
}

std::vector<wire::AgentReport> Dispatcher::agents(TimePoint now, Duration maximumAge) const
{
    std::vector<wire::AgentReport> reports;
    for (const auto& it : m_agents)
        if (now - it.second.reported <= maximumAge)
            reports.push_back(it.second.report);
    return reports;
}

} // namespace fescuegw::dispatch
