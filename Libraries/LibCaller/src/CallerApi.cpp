#include "LibCaller/CallerApi.h"

#include "RequestIdWriter.h"
#include "SendRefusal.h"
#include <nlohmann/json.hpp>

namespace Caller {

static constexpr std::string_view servicesPath = "/services/";

CallerApi::CallerApi(const Hooks& hooks, ChatHandler& chat, ServiceHandler& services, IsReady isReady, MetricsText metricsText)
    : m_hooks(hooks)
    , m_chat(chat)
    , m_services(services)
    , m_isReady(std::move(isReady))
    , m_metricsText(std::move(metricsText))
{
}

Core::Task<void> CallerApi::handle(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    std::string path = HTTP::pathOf(request.target);
    if (request.method == "GET" && co_await handleUnauthenticatedGet(path, writer))
        co_return;
    bool isChat = path == "/v1/chat/completions";
    bool isService = path.starts_with(servicesPath);
    if (!isChat && !isService) {
        Core::Reason reason { Core::FailureKind::NotFound, "find path", "daemon", "no such path: " + path };
        co_return co_await sendRefusal(m_hooks.observer, notRunRefusal("not_found", 404, reason), writer);
    }
    if (isChat && request.method != "POST")
        co_return co_await sendRefusal(m_hooks.observer, { "bad_request", 405, ExecutionStatus::NotRun, "read method", "caller", "expected POST", 0 }, writer);
    std::optional<Refusal> admissionRefusal = m_hooks.checkAdmission();
    if (admissionRefusal)
        co_return co_await sendRefusal(m_hooks.observer, *admissionRefusal, writer);
    Refusal refusal;
    std::optional<RequestIdentity> identity = authenticate(request, *m_hooks.state(), refusal);
    if (!identity)
        co_return co_await sendRefusal(m_hooks.observer, refusal, writer);
    std::optional<std::string> traceParent = HTTP::findHeader(request.headers, "traceparent");
    std::optional<Telemetry::TraceContext> parent = traceParent ? Telemetry::TraceContext::parse(*traceParent) : std::nullopt;
    Telemetry::Span span = m_hooks.startSpan("caller", Telemetry::SpanKind::Server, parent);
    span.setAttribute("request.id", identity->requestId);
    span.setAttribute("workspace", identity->workspace);
    span.setAttribute("path", path);
    identity->trace = span.isRecorded() ? span.context() : parent.value_or(Telemetry::TraceContext {});
    RequestIdWriter identified(writer, identity->requestId);
    if (isChat)
        co_await m_chat.handle(request, *identity, identified);
    else
        co_await m_services.handle(request, *identity, identified);
}

Core::Task<bool> CallerApi::handleUnauthenticatedGet(const std::string& path, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    if (path == "/healthz") {
        co_await writer.send({ 200, { { "Content-Type", "text/plain" } }, "ok\n" }, ignored);
    } else if (path == "/readyz") {
        bool isReady = m_isReady();
        co_await writer.send({ isReady ? 200u : 503u, { { "Content-Type", "text/plain" } }, isReady ? "ready\n" : "not ready\n" }, ignored);
    } else if (path == "/metrics") {
        co_await writer.send({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metricsText() }, ignored);
    } else if (path == "/v1/models") {
        co_await listModels(writer);
    } else {
        co_return false;
    }
    co_return true;
}

Core::Task<void> CallerApi::listModels(HTTP::ResponseWriter& writer)
{
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    nlohmann::json models = nlohmann::json::array();
    for (const std::pair<const std::string, Intent::Model>& model : state->models)
        models.push_back({ { "id", model.first }, { "object", "model" } });
    nlohmann::json body = { { "object", "list" }, { "data", models } };
    Core::Reason ignored;
    co_await writer.send({ 200, { { "Content-Type", "application/json" } }, body.dump() }, ignored);
}

}
