#include "LibRelay/Configuration.h"

#include <algorithm>

namespace Relay {

static std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return key;
}

Configuration::Configuration(
    uint64_t version, std::vector<Route> routes, std::vector<Service> services, std::vector<Workspace> workspaces, bool requiresKeys, CallerLimits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_requiresKeys(requiresKeys)
    , m_callerLimits(limits)
{
    for (Service& service : services)
        m_services.emplace(service.name, std::move(service));
    for (Workspace& workspace : workspaces) {
        for (const std::string& key : workspace.keys)
            m_workspaceByKey.emplace(key, workspace.name);
        m_workspaces.emplace(workspace.name, std::move(workspace));
    }
    for (size_t i = 0; i < m_routes.size(); ++i)
        m_routesByHost[hostKey(m_routes[i].host)].push_back(i);
    for (auto& [host, indices] : m_routesByHost) {
        std::stable_sort(indices.begin(), indices.end(),
            [this](size_t a, size_t b) { return m_routes[a].pathPrefix.size() > m_routes[b].pathPrefix.size(); });
    }
}

const Route* Configuration::findRoute(std::string_view host, std::string_view path) const
{
    auto it = m_routesByHost.find(hostKey(host));
    if (it == m_routesByHost.end())
        return nullptr;
    for (size_t index : it->second) {
        if (path.starts_with(m_routes[index].pathPrefix))
            return &m_routes[index];
    }
    return nullptr;
}

const Workspace* Configuration::findWorkspace(const std::string& key) const
{
    auto it = m_workspaceByKey.find(key);
    if (it == m_workspaceByKey.end())
        return nullptr;
    return &m_workspaces.at(it->second);
}

const Service* Configuration::findService(const std::string& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

}
