#pragma once

#include "LibCore/Address.h"
#include "LibCore/Reason.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// The daemon's settings file. The keys are the members' names in snake case; docs/OPERATIONS.md is the reference.
struct Settings {
    std::string host;
    std::string failureDomain;
    std::string region;
    Core::Address callerAddress;
    Core::Address peerAddress;
    Core::Address operatorAddress;
    Core::Address platformAddress;
    // Peer addresses of other daemons, asked when the platform does not answer at the start.
    std::vector<Core::Address> seedPeers;

    // Shared by all daemons of the fleet; authenticates links between them.
    std::string peerKey;
    // SHA-256 of the operators' bearer key as hexadecimal digits.
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
    // How long a stopping daemon still takes requests after /readyz has turned to 503, so that the balancer notices.
    int64_t readinessDelayMs { 1'000 };
    // Daemons of each failure domain that hold a watch at the platform.
    int64_t watchersPerFailureDomain { 2 };

    // Allows operators to cut links between daemons, for tests of partitions.
    bool faultSwitches { false };
    // One of debug, info, warning, error.
    std::string logLevel { "info" };
    // Spans are appended here as OTLP JSON lines; empty: no tracing.
    std::string traceFile;

    bool operator==(const Settings&) const = default;
};

// Reads and checks a settings file. The reason names the file, the line, the key and what was expected.
std::optional<Settings> loadSettings(const std::string& path, Core::Reason&);
std::optional<Settings> parseSettings(const std::string& text, const std::string& fileName, Core::Reason&);
