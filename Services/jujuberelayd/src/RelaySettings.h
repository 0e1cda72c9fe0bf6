#pragma once

#include "LibCore/Address.h"
#include "LibCore/Reason.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// The settings file of a daemon that relays for a deployment with its own store (`jujuberelayd --relay`). The keys are
// the members' names in snake case; docs/OPERATIONS.md is the reference.
struct RelaySettings {
    std::string host;
    std::string failureDomain;
    Core::Address callerAddress;
    Core::Address readinessAddress;
    Core::Address metricsAddress;
    Core::Address storeAddress;
    Core::Address peerAddress;
    // Shared by all daemons of the fleet; authenticates links between them.
    std::string peerKey;
    // Daemons that are asked for the store before any has been heard of through it.
    std::vector<Core::Address> seedPeers;

    // A daemon that can reach the store neither itself nor through another daemon goes on for this long with the
    // configuration that it has.
    int64_t outageLimitMs { 60'000 };
    // Time from SIGTERM to SIGKILL.
    int64_t stopLimitMs { 8'000 };
    // Repeats that all daemons together may send to one service in 10 s: a share of its requests and a fixed number.
    double retryShare { 0.2 };
    int64_t retryExtra { 50 };
    // What the host may use of a core, and the speed of its link in Mbit/s: hosts with more do more for the others.
    double processorShare { 1 };
    double linkMbps { 1'000 };
    // One of debug, info, warning, error.
    std::string logLevel { "info" };

    bool operator==(const RelaySettings&) const = default;
};

// Reads and checks a settings file. The reason names the file, the line, the key and what was expected.
std::optional<RelaySettings> loadRelaySettings(const std::string& path, Core::Reason&);
std::optional<RelaySettings> parseRelaySettings(const std::string& text, const std::string& fileName, Core::Reason&);
