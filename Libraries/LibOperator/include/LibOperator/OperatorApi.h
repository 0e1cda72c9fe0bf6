#pragma once

#include "LibHTTP/Message.h"
#include "LibHTTP/ResponseWriter.h"
#include "LibOperator/OperatorHooks.h"
#include <chrono>
#include <string>

namespace Operator {

struct OperatorSettings {
    // SHA-256 of the operator key as hexadecimal digits. Empty: every request is refused.
    std::string keySha256;
    // Longest wait for an accepted note to be in force everywhere.
    std::chrono::milliseconds inForceWait { 8000 };
    // Pause between two looks at the members during the wait.
    std::chrono::milliseconds inForcePoll { 50 };
};

// A daemon that does not have a generation in force, and why it is waited for.
struct MissingDaemon {
    Membership::Member member;
    std::string reason;
    bool operator==(const MissingDaemon&) const = default;
};

// Serves the paths below /operator/. The bodies are described in docs/operator-api.md.
class OperatorApi {
public:
    OperatorApi(OperatorSettings, OperatorHooks);

    Core::Task<void> handle(HTTP::Request, HTTP::ResponseWriter&);

    // The daemons that may still dispatch with an older generation. Daemons that left or whose host was withdrawn
    // are not among them; suspected ones are, since they may be paused or cut off.
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
