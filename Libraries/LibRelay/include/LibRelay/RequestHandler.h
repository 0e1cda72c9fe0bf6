#pragma once

#include "LibHTTP/Client.h"
#include "LibHTTP/ResponseWriter.h"
#include "LibRelay/BudgetManager.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/EndpointSelector.h"
#include "LibRouting/RetryBudget.h"
#include "LibTelemetry/Metrics.h"

namespace Relay {

class RequestExecution;

// What a refusal tells the caller.
struct Refusal {
    unsigned status { 503 };
    std::string code;
    std::string message;
    // When the caller should come back.
    std::optional<int64_t> retryAfterMs;
};

struct HandlerHooks {
    // The configuration in force; null before the first one.
    std::function<std::shared_ptr<const Configuration>()> configuration;
    // Why no request can be served now, if so.
    std::function<std::optional<Refusal>()> unservable;
    // Reads the configuration again because a request does not fit it; false when the store did not answer.
    std::function<Core::Task<bool>()> refreshConfiguration;
    // The endpoint said that it is not the registered one.
    std::function<void(const std::string& endpoint)> rejectEndpoint;
};

struct HandlerSettings {
    // Repeats that all daemons together may send to one service in 10 s, as a percentage of its requests and a number.
    int retryPercent { 15 };
    int64_t retryExtra { 25 };
    // Longest time to connect to an endpoint.
    int64_t connectTimeoutMs { 400 };
    // A stream that can go on elsewhere is taken from an endpoint that is silent for this long.
    int64_t streamIdleTimeoutMs { 1'200 };
    // The same before the first event, while the endpoint reads the prompt.
    int64_t firstEventTimeoutMs { 2'500 };
};

// Serves callers' requests: authorises them, holds their tokens, sends them to endpoints and passes on the answers.
class RequestHandler {
public:
    RequestHandler(const boost::asio::any_io_executor&, WireCodec, HandlerHooks, HandlerSettings, std::shared_ptr<HTTP::Client>,
        EndpointSelector&, BudgetManager&, Telemetry::Metrics&);

    Core::Task<void> handle(HTTP::Request, HTTP::ResponseWriter&);

private:
    friend class RequestExecution;

    Routing::RetryBudget& retryBudget(const std::string& service);

    boost::asio::any_io_executor m_executor;
    WireCodec m_codec;
    HandlerHooks m_hooks;
    HandlerSettings m_settings;
    std::shared_ptr<HTTP::Client> m_client;
    EndpointSelector& m_selector;
    BudgetManager& m_budgets;
    Telemetry::Metrics& m_metrics;
    std::map<std::string, Routing::RetryBudget> m_retryBudgets;
};

}
