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
    // Higher is served first when requests queue.
    int priority { 0 };
    // Largest share of the ungranted remainder that one grant takes, in percent.
    int grantSharePercent { 75 };
    // Whether unspent grants are called back when a budget is nearly exhausted.
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
    // The smallest number of prompt bytes that one token stands for; bounds the prompt's tokens from above.
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
    // Engines: the models it serves.
    std::vector<std::string> models;
    bool checksFencing { false };
    // Requests that it runs at once before it queues.
    int slots { 32 };
    bool operator==(const Endpoint&) const = default;
};

struct Service {
    std::string name;
    std::vector<std::string> endpoints;
    // Whether a call may be sent twice.
    bool isRepeatable { false };
    // Tokens billed for each call.
    int64_t priceTokens { 0 };
    bool operator==(const Service&) const = default;
};

// The intended state at one generation: the fold of all accepted notes.
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
    // Hosts that an operator declared destroyed: their daemons can send nothing more.
    std::set<std::string> withdrawnHosts;
    // "section/name" of everything that was withdrawn.
    std::set<std::string> tombstones;
    bool operator==(const FleetState&) const = default;
};

}
