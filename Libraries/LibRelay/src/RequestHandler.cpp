#include "LibRelay/RequestHandler.h"

#include "Events.h"
#include "RequestExecution.h"

namespace Relay {

// Lower bound on the number of daemons assumed to share the retry budget, for the time before all have announced themselves.
static constexpr size_t minAssumedDaemons = 8;

RequestHandler::RequestHandler(const boost::asio::any_io_executor& executor, WireCodec codec, HandlerHooks hooks, HandlerSettings settings,
    std::shared_ptr<HTTP::Client> client, EndpointSelector& selector, BudgetManager& budgets, PromptQuarantine& quarantine, Telemetry::Metrics& metrics)
    : m_executor(executor)
    , m_codec(std::move(codec))
    , m_hooks(std::move(hooks))
    , m_settings(settings)
    , m_client(std::move(client))
    , m_selector(selector)
    , m_budgets(budgets)
    , m_quarantine(quarantine)
    , m_crashCheck(executor, m_client, m_selector, m_codec, std::chrono::milliseconds(settings.crashCheckTimeoutMs))
    , m_confirmation(executor, m_client, m_crashCheck, m_selector, m_quarantine, std::chrono::milliseconds(settings.survivalTimeMs))
    , m_metrics(metrics)
{
}

Core::Task<void> RequestHandler::handle(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    RequestExecution execution(*this, writer);
    co_await execution.serve(std::move(request));
}

Routing::RetryBudget& RequestHandler::retryBudget(const std::string& service)
{
    Routing::RetryBudget& budget = m_retryBudgets.try_emplace(service, Routing::RetryBudgetSettings { m_settings.retryPercent, 0 }).first->second;
    // retryExtra applies to all daemons together.
    budget.setMinRetries(m_settings.retryExtra / static_cast<int64_t>(std::max(m_budgets.daemons(), minAssumedDaemons)));
    return budget;
}

void RequestHandler::recordAnswer(const Endpoint& endpoint, const std::string& request, const ResponseMetadata& metadata)
{
    if (metadata.isLeaving && m_hooks.endpointLeaves)
        m_hooks.endpointLeaves(endpoint, request);
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    m_selector.cold().recordAnswer(endpoint, metadata.coldLeft, now);
    if (metadata.pausedUntil && m_selector.recordPause(endpoint, metadata.pausedUntil->at(), now))
        Core::logEvent(Events::endpointPaused, "endpoint=" + endpoint.id + " service=" + endpoint.service + " pause_ms=" + std::to_string(metadata.pausedUntil->remaining().count()) + " request=" + request);
}

void RequestHandler::recordBrittleness(const Endpoint& endpoint, const std::string& request, const ResponseMetadata& metadata)
{
    if (!m_brittleServices.record(endpoint, metadata.maxRejections, Core::SteadyClock::now()))
        return;
    std::string rejections = metadata.maxRejections ? std::to_string(*metadata.maxRejections) : "none";
    Core::logEvent(Events::serviceBrittle, "service=" + endpoint.service + " max_rejections_per_s=" + rejections + " endpoint=" + endpoint.id + " request=" + request);
}

void RequestHandler::recordLimit(const Endpoint& endpoint, const std::string& request, const ResponseMetadata& metadata, Core::SteadyClock::time_point sentAt)
{
    if (!m_selector.limits().record(endpoint, metadata.requestLimit, sentAt, Core::SteadyClock::now()))
        return;
    std::string limit = metadata.requestLimit ? std::to_string(*metadata.requestLimit) : "none";
    Core::logEvent(Events::endpointLimited, "endpoint=" + endpoint.id + " service=" + endpoint.service + " per_second=" + limit + " request=" + request);
}

}
