#pragma once

#include "LibCore/Address.h"
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Intent {

struct Workspace {
    std::string name;
    // Queued requests of workspaces with a higher priority are served first.
    int priority { 0 };
    // Upper bound of a single grant, in percent of the ungranted tokens.
    int grantSharePercent { 75 };
    // Whether unspent grants are recalled when a budget is nearly exhausted.
    bool recallGrants { true };
    bool operator==(const Workspace&) const = default;
};

struct Budget {
    std::string workspace;
    std::string name;
    bool operator==(const Budget&) const = default;
};

struct TopUp {
    std::string id;
    std::string workspace;
    std::string budget;
    int64_t tokens { 0 };
    bool operator==(const TopUp&) const = default;
};

struct Key {
    // SHA-256 of the bearer key as hexadecimal digits; also the key's name in notes.
    std::string sha256;
    std::string workspace;
    std::string budget;
    bool operator==(const Key&) const = default;
};

struct Model {
    std::string name;
    int64_t maxOutputTokens { 512 };
    // Minimum number of prompt bytes per token; gives an upper bound for the tokens of a prompt.
    int64_t bytesPerToken { 1 };
    bool operator==(const Model&) const = default;
};

// Restricts the endpoints of a model for a workspace ("*": any).
struct RoutingRule {
    std::string name;
    std::string workspace;
    std::string model;
    std::vector<std::string> endpoints;
    bool operator==(const RoutingRule&) const = default;
};

enum class EndpointKind {
    Engine,
    Service,
};

struct Endpoint {
    std::string name;
    EndpointKind kind { EndpointKind::Engine };
    Core::Address address;
    std::string failureDomain;
    // Models served; empty for services.
    std::vector<std::string> models;
    bool checksFencing { false };
    // Number of requests executed concurrently; further requests are queued.
    int slots { 32 };
    bool operator==(const Endpoint&) const = default;
};

struct Service {
    std::string name;
    std::vector<std::string> endpoints;
    // Whether a call may safely be sent more than once.
    bool isRepeatable { false };
    // Tokens billed for each call.
    int64_t priceTokens { 0 };
    bool operator==(const Service&) const = default;
};

// Desired state of the fleet at one generation: the result of applying all accepted notes in order.
struct FleetState {
    uint64_t generation { 0 };
    std::map<std::string, Workspace> workspaces;
    // By "workspace/budget".
    std::map<std::string, Budget> budgets;
    std::map<std::string, TopUp> topUps;
    std::map<std::string, Key> keys;
    std::map<std::string, Model> models;
    std::map<std::string, RoutingRule> routingRules;
    std::map<std::string, Endpoint> endpoints;
    std::map<std::string, Service> services;
    // Hosts that an operator declared destroyed. Their daemons can no longer send anything.
    std::set<std::string> withdrawnHosts;
    // Keys ("section/name") of all withdrawn records.
    std::set<std::string> tombstones;
    bool operator==(const FleetState&) const = default;
};

}
