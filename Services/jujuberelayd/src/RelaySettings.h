#pragma once

#include "LibCore/Address.h"
#include "LibCore/Reason.h"
#include "LibHTTP/ClientCapacity.h"
#include "LibRelay/LinkMonitor.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Settings file of a daemon that relays for a deployment with its own store (`jujuberelayd --relay`). Each key is the name
// of a member in snake case; see docs/OPERATIONS.md for the reference.
struct RelaySettings {
    std::string host;
    std::string failureDomain;
    Core::Address callerAddress;
    Core::Address readinessAddress;
    Core::Address metricsAddress;
    Core::Address storeAddress;
    Core::Address peerAddress;
    // Pre-shared key of the fleet that authenticates links between daemons.
    std::string peerKey;
    // Peer addresses through which the store is reached until other daemons are discovered from it.
    std::vector<Core::Address> seedPeers;

    // How long a daemon keeps serving with its last configuration while it can reach the store neither directly nor through
    // a peer.
    int64_t outageLimitMs { 60'000 };
    // Time in milliseconds from the store's acknowledgement of an evacuation to the last request that an endpoint in the failure domain
    // may get. 0: evacuations are not followed.
    double evacuateLimitMs { 0 };
    // Seconds from SIGTERM to SIGKILL.
    double stopLimitSeconds { 8 };
    // Retries that all daemons together may send to one service in 10 s: a share of its requests plus a fixed number.
    double retryShare { 0.2 };
    double retryExtra { 50 };
    // Requests that a cold endpoint may get from all daemons in one second: a multiple of its service's limit plus a fixed number.
    double coldOverage { 1.5 };
    double coldExtra { 5 };
    // Writes a second that the store takes from all daemons together.
    double storeWritesPerSecond { 400 };
    // CPU quota of the host in cores, and its link speed in Mbit/s. Hosts with more capacity do more work for their peers.
    double processorShare { 1 };
    double linkMbps { 1'000 };
    // Round trip to most endpoints from which the host's link counts as full.
    int64_t fullLinkDelayMs { Relay::LinkMonitor::defaultFullLinkDelay.count() };
    // Memory that the daemon may use in MB; 0: that of the host.
    double memoryMb { 0 };
    // Memory of the host in MB, for the shares of clients; 0: memoryMb.
    double hostMemoryMb { 0 };
    // File descriptors that the daemon may use; 0: the limit of the process.
    double descriptorLimit { 0 };
    // Names of the platform's rules in force; they switch on optional behaviour.
    std::vector<std::string> features;
    // One of debug, info, warning, error.
    std::string logLevel { "info" };

    bool operator==(const RelaySettings&) const = default;

    // Memory for what has been received of responses.
    size_t responseBytes() const;
    bool followsEvacuations() const { return evacuateLimitMs > 0; }
    std::chrono::milliseconds evacuateLimit() const { return std::chrono::milliseconds(static_cast<int64_t>(evacuateLimitMs)); }
    // What the callers, and the clients of the balancer's address and of that of metrics, may take.
    HTTP::ClientCapacity callerCapacity() const;
    HTTP::ClientCapacity statusCapacity() const;
    std::chrono::milliseconds stopLimit() const { return std::chrono::milliseconds(static_cast<int64_t>(stopLimitSeconds * 1'000)); }
};

// Reads and validates a settings file. The reason gives the file, line, key and expected value.
std::optional<RelaySettings> loadRelaySettings(const std::string& path, Core::Reason&);
std::optional<RelaySettings> parseRelaySettings(const std::string& text, const std::string& fileName, Core::Reason&);
