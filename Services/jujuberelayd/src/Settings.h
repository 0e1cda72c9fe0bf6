#pragma once

#include "LibCore/Address.h"
#include "LibCore/Reason.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Settings file of the daemon. Each key is the name of a member in snake case; see docs/OPERATIONS.md for the reference.
struct Settings {
    std::string host;
    std::string failureDomain;
    std::string region;
    Core::Address callerAddress;
    Core::Address peerAddress;
    Core::Address operatorAddress;
    Core::Address platformAddress;
    // Peer addresses of other daemons, used to join the fleet while the platform is unreachable.
    std::vector<Core::Address> seedPeers;

    // Pre-shared key of the fleet that authenticates links between daemons.
    std::string peerKey;
    // SHA-256 digest of the operators' bearer token in lowercase hexadecimal.
    std::string operatorKeySha256;
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;

    uint32_t shardCount { 16 };
    int64_t commitGatherMs { 2 };
    int64_t grantIdleMs { 10'000 };
    int64_t isolatedLimitMs { 6'000 };
    int64_t outageLimitMs { 3'600'000 };
    int64_t drainLimitMs { 120'000 };
    // Time during which a stopping daemon still accepts requests after /readyz returns 503, so that the load balancer can
    // remove it from rotation.
    int64_t readinessDelayMs { 1'000 };
    // Number of daemons per failure domain that hold a watch on the platform.
    int64_t watchersPerFailureDomain { 2 };

    // Memory that the daemon may use in MB; 0: that of the host.
    double memoryMb { 0 };
    // File descriptors that the daemon may use; 0: the limit of the process.
    double descriptorLimit { 0 };

    // Allows operators to block links between daemons in partition tests.
    bool faultSwitches { false };
    // One of debug, info, warning, error.
    std::string logLevel { "info" };
    // File to which spans are appended as OTLP JSON lines. Tracing is disabled if empty.
    std::string traceFile;

    bool operator==(const Settings&) const = default;
};

// Reads and validates a settings file. The reason gives the file, line, key and expected value.
std::optional<Settings> loadSettings(const std::string& path, Core::Reason&);
std::optional<Settings> parseSettings(const std::string& text, const std::string& fileName, Core::Reason&);
