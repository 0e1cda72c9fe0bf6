#pragma once

#include "LibCaller/Attempt.h"
#include "LibCaller/ChatRequest.h"
#include "LibCaller/Hooks.h"
#include "LibEndpoint/EngineClient.h"
#include "LibHTTP/ResponseWriter.h"
#include <memory>

namespace Caller {

// Handles POST /v1/chat/completions: reserves tokens, records the attempt, dispatches it to an engine, forwards the
// response and bills the usage.
class ChatHandler {
public:
    ChatHandler(const boost::asio::any_io_executor&, const Hooks&, Endpoint::EngineClient&);

    Core::Task<void> handle(const HTTP::Request&, const RequestIdentity&, HTTP::ResponseWriter&);

    // Number of attempts whose usage is still being requested from an endpoint after the response has ended.
    size_t unresolvedAttempts() const { return m_unresolved; }

private:
    struct Session;

    Core::Task<bool> startAttempt(Session&, Refusal&);
    Core::Task<bool> resumeExisting(Session&, Refusal&);
    Core::Task<bool> dispatch(Session&, const Route&, Refusal&, bool& mayRetry);
    void reportEventLatency(Session&) const;
    Core::Task<bool> forwardEvents(Session&, HTTP::ResponseWriter&, Refusal&);
    Core::Task<std::optional<std::string>> readEvents(Session&, Core::Reason&);
    Core::Task<bool> reconnect(Session&, Core::Reason&);
    Core::Task<void> finishResponse(Session&, HTTP::ResponseWriter&);
    Core::Task<void> abortResponse(Session&, HTTP::ResponseWriter&, Refusal);
    void scheduleResolution(std::shared_ptr<Session>);
    Core::Task<void> resolveUsage(std::shared_ptr<Session>);

    boost::asio::any_io_executor m_executor;
    const Hooks& m_hooks;
    Endpoint::EngineClient& m_engines;
    size_t m_unresolved { 0 };
};

}
