#pragma once

#include "LibCaller/Attempt.h"
#include "LibCaller/ChatRequest.h"
#include "LibCaller/Hooks.h"
#include "LibEndpoint/EngineClient.h"
#include "LibHTTP/ResponseWriter.h"
#include <memory>

namespace Caller {

// Answers POST /v1/chat/completions: hold, record, dispatch, forward, bill.
class ChatHandler {
public:
    ChatHandler(const boost::asio::any_io_executor&, const Hooks&, Endpoint::EngineClient&);

    Core::Task<void> handle(const HTTP::Request&, const RequestIdentity&, HTTP::ResponseWriter&);

    // Attempts whose outcome is still being asked of an endpoint after their caller was answered.
    size_t unresolvedAttempts() const { return m_unresolved; }

private:
    struct Session;

    Core::Task<bool> start(Session&, Refusal&);
    Core::Task<bool> join(Session&, Refusal&);
    Core::Task<bool> dispatch(Session&, const Route&, Refusal&, bool& mayTryNext);
    void reportEventTime(Session&) const;
    Core::Task<bool> forward(Session&, HTTP::ResponseWriter&, Refusal&);
    Core::Task<std::optional<std::string>> readEvents(Session&, Core::Reason&);
    Core::Task<bool> reconnect(Session&, Core::Reason&);
    Core::Task<void> complete(Session&, HTTP::ResponseWriter&);
    Core::Task<void> breakOff(Session&, HTTP::ResponseWriter&, Refusal);
    void resolveLater(std::shared_ptr<Session>);
    Core::Task<void> resolve(std::shared_ptr<Session>);

    boost::asio::any_io_executor m_executor;
    const Hooks& m_hooks;
    Endpoint::EngineClient& m_engines;
    size_t m_unresolved { 0 };
};

}
