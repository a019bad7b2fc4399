#include "fescuegw/direct/RouteTable.h"

namespace fescuegw::direct {

bool RouteTable::replace(const wire::Routing& routing)
{
    if (routing.version() <= m_routing.version())
        return false;
    m_routing = routing;
    m_routes.clear();
    for (const auto& it : m_routing.routes())
        m_routes[it.host()][it.prefix()] = &it;
    return true;
}

std::optional<RouteMatch> RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(host.substr(0, host.find(':')));
    if (routes == m_routes.end())
        return std::nullopt;
    // Route prefixes end with a slash, so the candidates are the prefixes of `path` that end at one of its slashes.
    for (size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto it = routes->second.find(path.substr(0, slash + 1));
        if (it != routes->second.end())
            return RouteMatch { it->second, std::string(path.substr(slash + 1)) };
        if (slash == 0)
            break;
    }
    return std::nullopt;
}

} // namespace fescuegw::direct
