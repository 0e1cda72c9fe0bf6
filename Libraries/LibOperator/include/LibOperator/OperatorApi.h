#pragma once

#include "LibHTTP/Message.h"
#include "LibHTTP/ResponseWriter.h"
#include "LibOperator/OperatorHooks.h"
#include <chrono>
#include <string>

namespace Operator {

struct OperatorSettings {
    // SHA-256 of the operator key in hexadecimal. If empty, all requests are rejected.
    std::string keySha256;
    // Maximum time to wait for an accepted note to be in force on all daemons.
    std::chrono::milliseconds inForceTimeout { 8000 };
    // Interval at which the members are polled while waiting.
    std::chrono::milliseconds inForcePollInterval { 50 };
};

// A daemon that does not have a generation in force, and the reason to wait for it.
struct MissingDaemon {
    Membership::Member member;
    std::string reason;
    bool operator==(const MissingDaemon&) const = default;
};

// Handles requests below /operator/. The bodies are documented in docs/operator-api.md.
class OperatorApi {
public:
    OperatorApi(OperatorSettings, OperatorHooks);

    Core::Task<void> handle(HTTP::Request, HTTP::ResponseWriter&);

    // Returns the daemons that may still dispatch with an older generation. Daemons that have left or whose host was
    // withdrawn are excluded. Suspected daemons are included, since they may be paused or partitioned.
    std::vector<MissingDaemon> missing(uint64_t generation) const;

private:
    Core::Task<HTTP::Response> respond(const HTTP::Request&);
    Core::Task<HTTP::Response> postNote(std::string body);
    HTTP::Response postCheck(const std::string& body) const;
    HTTP::Response getState() const;
    HTTP::Response getStatus() const;
    Core::Task<HTTP::Response> getHistory(std::string target);
    Core::Task<HTTP::Response> getAudit();
    Core::Task<HTTP::Response> waitUntilInForce(Intent::AcceptResult, Core::Deadline);
    bool isAuthorized(const HTTP::Request&) const;

    OperatorSettings m_settings;
    OperatorHooks m_hooks;
};

}
