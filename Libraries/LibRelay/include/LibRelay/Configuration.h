#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What the operator intends: routes, services and workspaces of one configuration version.
namespace Relay {

using Tokens = int64_t;

// A service that gets a part of a route's requests.
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
    // A request may run more than once.
    bool isRepeatable { false };
    // A stream may go on at another endpoint after its last event.
    bool isResumable { false };
    // No key is asked for.
    bool isPublic { false };
    // Longest time from the request to the end of its response, in milliseconds; 0: unlimited.
    int64_t timeoutMs { 0 };
    // Time within which a whole response, or the first event, is on time.
    int64_t objectiveMs { 0 };
    // 0 is the most urgent.
    int priority { 0 };
    // Endpoints to which one request may be sent.
    int attempts { 1 };
    std::vector<ServiceShare> split;
    bool operator==(const Route&) const = default;

    // Whether the request may run at a second endpoint.
    bool mayRunAgain() const { return isStream ? isResumable : isRepeatable; }
};

// What a service's model engines can do.
struct EngineTraits {
    // Requests that run at once.
    int64_t slots { 1 };
    // Tokens of running requests and cached prompt parts.
    Tokens memory { 0 };
    // Most tokens in one event of a stream.
    Tokens tokensPerEvent { 1 };
    bool operator==(const EngineTraits&) const = default;
};

struct Service {
    std::string name;
    // Connections that one endpoint accepts from all daemons; 0: unlimited.
    int64_t maxConnections { 0 };
    std::optional<EngineTraits> engine;
    bool operator==(const Service&) const = default;
};

struct Workspace {
    std::string name;
    // Replaces the route's priority.
    std::optional<int> priority;
    // Tokens that the workspace may consume; none: unlimited.
    std::optional<Tokens> budget;
    std::vector<std::string> keys;
    bool operator==(const Workspace&) const = default;
};

// Bounds on what a caller may send. 0: unlimited.
struct CallerLimits {
    int64_t maxHeaderBytes { 0 };
    int64_t maxBodyBytes { 0 };
    int64_t requestTimeoutMs { 0 };
    int64_t idleTimeoutMs { 0 };
    bool operator==(const CallerLimits&) const = default;
};

// One version, immutable once built.
class Configuration {
public:
    Configuration() = default;
    Configuration(uint64_t version, std::vector<Route>, std::vector<Service>, std::vector<Workspace>, bool requiresKeys, CallerLimits);

    uint64_t version() const { return m_version; }
    const std::vector<Route>& routes() const { return m_routes; }
    const std::map<std::string, Service>& services() const { return m_services; }
    const std::map<std::string, Workspace>& workspaces() const { return m_workspaces; }
    const CallerLimits& callerLimits() const { return m_callerLimits; }
    // False when the configuration names no workspaces: no request carries a key then.
    bool requiresKeys() const { return m_requiresKeys; }

    // The route with the longest prefix of the path among those of the host, or null. The host compares without regard
    // to case and without its port.
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
