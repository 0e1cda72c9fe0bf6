#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The routes, services and workspaces of one configuration version.
namespace Relay {

using Tokens = int64_t;

// A service and its weight in the split of a route's requests.
struct ServiceShare {
    std::string service;
    int64_t weight { 1 };
    bool operator==(const ServiceShare&) const = default;
};

struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    // The response is a stream of numbered events.
    bool isStream { false };
    // Requests are idempotent and may run more than once.
    bool isRepeatable { false };
    // A stream may be resumed at another endpoint after its last event.
    bool isResumable { false };
    // Requests need no key.
    bool isPublic { false };
    // Longest time from the request to the end of its response, in milliseconds; 0: unlimited.
    int64_t timeoutMs { 0 };
    // Latency objective for a whole response or for the first event of a stream, in milliseconds.
    int64_t objectiveMs { 0 };
    // 0 is the most urgent.
    int priority { 0 };
    // Maximum number of endpoints to which one request may be sent.
    int attempts { 1 };
    std::vector<ServiceShare> split;
    bool operator==(const Route&) const = default;

    // Whether the request may run at a second endpoint.
    bool mayRunAgain() const { return isStream ? isResumable : isRepeatable; }
};

// Capacity of a service's model engines.
struct EngineTraits {
    // Requests that run concurrently.
    int64_t slots { 1 };
    // Tokens that fit into memory, for running requests and cached prompt parts together.
    Tokens memory { 0 };
    // Maximum number of tokens in one event of a stream.
    Tokens tokensPerEvent { 1 };
    bool operator==(const EngineTraits&) const = default;
};

struct Service {
    std::string name;
    // Connections that one endpoint accepts from all daemons together; 0: unlimited.
    int64_t maxConnections { 0 };
    std::optional<EngineTraits> engine;
    // Requests a second that a cold endpoint tolerates from all daemons together; 0: unlimited.
    double coldPerSecond { 0 };
    // How long an endpoint is cold after its start, in milliseconds.
    int64_t coldTimeMs { 0 };
    // Why these two could not be read as they were given; empty if they could.
    std::string coldFault {};
    bool operator==(const Service&) const = default;
};

struct Workspace {
    std::string name;
    // Overrides the route's priority.
    std::optional<int> priority;
    // Tokens that the workspace may consume; none: unlimited.
    std::optional<Tokens> budget;
    std::vector<std::string> keys;
    bool operator==(const Workspace&) const = default;
};

// Limits on callers' requests and connections. 0: unlimited.
struct CallerLimits {
    int64_t maxHeaderBytes { 0 };
    int64_t maxBodyBytes { 0 };
    int64_t requestTimeoutMs { 0 };
    int64_t idleTimeoutMs { 0 };
    bool operator==(const CallerLimits&) const = default;
};

// One configuration version. Immutable.
class Configuration {
public:
    Configuration() = default;
    Configuration(uint64_t version, std::vector<Route>, std::vector<Service>, std::vector<Workspace>, bool requiresKeys, CallerLimits);

    uint64_t version() const { return m_version; }
    const std::vector<Route>& routes() const { return m_routes; }
    const std::map<std::string, Service>& services() const { return m_services; }
    const std::map<std::string, Workspace>& workspaces() const { return m_workspaces; }
    const CallerLimits& callerLimits() const { return m_callerLimits; }
    // False if the configuration has no workspaces, in which case requests carry no key.
    bool requiresKeys() const { return m_requiresKeys; }

    // The host's route with the longest prefix of the path, or null. Hosts are compared case-insensitively and without
    // the port.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    const Workspace* findWorkspace(const std::string& key) const;
    const Service* findService(const std::string& name) const;

    bool operator==(const Configuration&) const = default;

private:
    uint64_t m_version { 0 };
    std::vector<Route> m_routes;
    std::map<std::string, Service> m_services;
    std::map<std::string, Workspace> m_workspaces;
    // Indices into m_routes by host in lower case, longest prefix first.
    std::map<std::string, std::vector<size_t>> m_routesByHost;
    std::map<std::string, std::string> m_workspaceByKey;
    bool m_requiresKeys { false };
    CallerLimits m_callerLimits;
};

}
