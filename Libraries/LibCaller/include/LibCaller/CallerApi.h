#pragma once

#include "LibCaller/ChatHandler.h"
#include "LibCaller/Hooks.h"
#include "LibCaller/ServiceHandler.h"
#include "LibHTTP/Message.h"
#include "LibHTTP/ResponseWriter.h"
#include <functional>
#include <string>

namespace Caller {

// Authenticates callers' requests and routes them to the handlers.
class CallerApi {
public:
    // Readiness for the load balancer, reported by /readyz.
    using IsReady = std::function<bool()>;
    // Returns the body of /metrics.
    using MetricsText = std::function<std::string()>;

    CallerApi(const Hooks&, ChatHandler&, ServiceHandler&, IsReady, MetricsText);

    Core::Task<void> handle(HTTP::Request, HTTP::ResponseWriter&);

private:
    Core::Task<bool> handleUnauthenticatedGet(const std::string& path, HTTP::ResponseWriter&);
    Core::Task<void> listModels(HTTP::ResponseWriter&);

    const Hooks& m_hooks;
    ChatHandler& m_chat;
    ServiceHandler& m_services;
    IsReady m_isReady;
    MetricsText m_metricsText;
};

}
