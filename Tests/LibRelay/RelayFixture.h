#pragma once

#include "LibHTTP/Server.h"
#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/LedgerWriter.h"
#include "LibRelay/RequestHandler.h"
#include "RunTask.h"
#include <sstream>

// A relay with endpoints and callers on loopback and a minimal wire codec.
namespace RelayTest {

// "Id" identifies the request, "Not-Run", "Seal", "Leaving", "Limit", "Brittle" and, in a 503, "Pause-Ms" are an endpoint's response metadata, "Tokens" is the
// prompt's size, "Left" is the time left in ms, "Max-Output" the maximum of its output (10 if absent), "Parts" are the ids of the prompt's parts, separated by commas.
inline Relay::WireCodec makeCodec()
{
    Relay::WireCodec codec;
    codec.decodeRequest = [](HTTP::Request message, Core::Deadline limit, Core::Reason& reason) -> std::optional<Relay::CallerRequest> {
        Relay::CallerRequest request;
        request.id = HTTP::findHeader(message.headers, "Id").value_or("");
        request.host = "test";
        request.key = HTTP::findHeader(message.headers, "Key");
        request.deadline = limit;
        if (std::optional<std::string> text = HTTP::findHeader(message.headers, "Timeout"))
            request.deadline = Core::Deadline::after(std::chrono::milliseconds(std::stoi(*text)));
        if (std::optional<std::string> text = HTTP::findHeader(message.headers, "Tokens"))
            request.tokens = Relay::TokenDemand { std::stoi(*text), std::stoll(HTTP::findHeader(message.headers, "Max-Output").value_or("10")) };
        request.isRelayed = HTTP::findHeader(message.headers, "Relayed").has_value();
        request.resumes = HTTP::findHeader(message.headers, "Resumes");
        if (std::optional<std::string> text = HTTP::findHeader(message.headers, "Last-Event"))
            request.lastEvent = std::stoull(*text);
        std::istringstream parts(HTTP::findHeader(message.headers, "Parts").value_or(""));
        for (std::string id; std::getline(parts, id, ',');)
            request.promptParts.push_back({ id, 1 });
        request.message = std::move(message);
        if (request.id.empty()) {
            reason = { Core::FailureKind::Invalid, "decode request", "caller", "no id" };
            return std::nullopt;
        }
        return request;
    };
    codec.encodeDispatch = [](const Relay::CallerRequest& request, const Relay::Dispatch& dispatch) {
        HTTP::Request message { request.message.method, request.message.target, { { "Id", request.id }, { "Expect-Endpoint", dispatch.endpointId }, { "Left", std::to_string(dispatch.deadline.remaining().count()) } }, request.message.body };
        if (dispatch.lastEvent || request.lastEvent)
            message.headers.push_back({ "Last-Event", std::to_string(dispatch.lastEvent ? *dispatch.lastEvent : *request.lastEvent) });
        if (dispatch.urgency)
            message.headers.push_back({ "Urgency", std::to_string(*dispatch.urgency) });
        return message;
    };
    codec.encodeRelayed = [](const Relay::CallerRequest& request, Core::Deadline) {
        HTTP::Request message = request.message;
        std::erase_if(message.headers, [](const HTTP::Header& header) { return header.name == "Content-Length"; });
        message.headers.push_back({ "Relayed", "1" });
        return message;
    };
    codec.decodeResponseMetadata = [](unsigned status, const HTTP::Headers& headers) {
        Relay::ResponseMetadata metadata;
        metadata.requestId = HTTP::findHeader(headers, "Id").value_or("");
        metadata.isNotRun = HTTP::findHeader(headers, "Not-Run").has_value();
        metadata.isSealed = HTTP::findHeader(headers, "Seal").has_value();
        metadata.isLeaving = HTTP::findHeader(headers, "Leaving").has_value();
        if (std::optional<std::string> text = HTTP::findHeader(headers, "Pause-Ms"); text && status == 503)
            metadata.pausedUntil = Core::Deadline::after(std::chrono::milliseconds(std::stoi(*text)));
        if (std::optional<std::string> text = HTTP::findHeader(headers, "Brittle"))
            metadata.maxRejections = std::stod(*text);
        if (std::optional<std::string> text = HTTP::findHeader(headers, "Limit"))
            metadata.requestLimit = std::stod(*text);
        return metadata;
    };
    codec.callerHeaders = [](const HTTP::Headers& headers) {
        HTTP::Headers kept;
        for (const HTTP::Header& header : headers) {
            if (header.name == "Seal" || header.name == "Retry-After")
                kept.push_back(header);
        }
        return kept;
    };
    codec.statusRequest = [] { return HTTP::Request { "GET", "/status", {}, {} }; };
    // The body is the number of queued requests, optionally followed by the id and the number of events of one run.
    codec.decodeStatus = [](const std::string& body, Core::Reason&) -> std::optional<Relay::EngineStatus> {
        std::istringstream text(body);
        Relay::EngineStatus status;
        text >> status.queued;
        status.eventsByRun.emplace();
        std::string id;
        uint64_t events = 0;
        while (text >> id >> events)
            status.eventsByRun->emplace(id, events);
        return status;
    };
    return codec;
}

inline Relay::Route makeRoute(const std::string& prefix, bool isStream, bool isRepeatable, bool isResumable, int attempts)
{
    Relay::Route route;
    route.name = prefix;
    route.host = "test";
    route.pathPrefix = prefix;
    route.isStream = isStream;
    route.isRepeatable = isRepeatable;
    route.isResumable = isResumable;
    route.objectiveMs = 2'000;
    route.attempts = attempts;
    route.split = { { "service", 1 } };
    return route;
}

inline std::shared_ptr<const Relay::Configuration> makeConfiguration()
{
    Relay::Workspace workspace;
    workspace.name = "w";
    workspace.budget = 1'000;
    workspace.keys = { "key" };
    std::vector<Relay::Route> routes { makeRoute("/once/", false, false, false, 2), makeRoute("/again/", false, true, false, 2),
        makeRoute("/stream/", true, false, true, 2), makeRoute("/single/", true, false, false, 1) };
    Relay::Service service;
    service.name = "service";
    return std::make_shared<const Relay::Configuration>(1, routes, std::vector { service }, std::vector { workspace }, true, Relay::CallerLimits {});
}

struct Fixture {
    using Answer = std::function<Core::Task<void>(const HTTP::Request&, HTTP::ResponseWriter&)>;

    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor() };
    std::shared_ptr<HTTP::Client> client { std::make_shared<HTTP::Client>(context.get_executor()) };
    Telemetry::Metrics metrics;
    Relay::EndpointDirectory directory { {} };
    Relay::EndpointSelector selector { directory, "zone-a" };
    Relay::LedgerWriter writer { context.get_executor(), store.hooks(), "relay-ledgers/shard-0", { 1, 1'000, 0, 1 } };
    Relay::BudgetManager budgets { context.get_executor(), makeBudgetHooks(), { "host", 5, 0.3, 30, 2, 300, 300, 1 } };
    Relay::PromptQuarantine quarantine;
    std::shared_ptr<const Relay::Configuration> configuration { makeConfiguration() };
    bool isStoreAnswering { true };
    std::chrono::milliseconds storeSilence { 0 };
    std::optional<Core::Deadline> servesUntil;
    std::chrono::milliseconds linkDelay { 0 };
    // Whether the host is cut off from a service, if set, its peers' addresses for callers, and whether those that were asked took requests.
    std::function<bool(const std::string&)> isCutOff;
    std::vector<Core::Address> relayPeers;
    std::vector<bool> relayOutcomes;
    // Assigns places at brittle endpoints and takes them back, if set.
    std::function<std::optional<uint64_t>(const Relay::Endpoint&)> acquirePlace;
    std::function<void(const std::string&, std::optional<double>)> returnPlace;
    std::vector<std::string> rejected;
    // Issues all permits and answers no call, if set; and the calls to it.
    std::optional<Core::Address> silentIssuer;
    size_t permitCalls { 0 };
    size_t daemons { 1 };
    // How long a permit takes to arrive.
    std::chrono::milliseconds permitDelay { 0 };
    Relay::PermitService permits { makePermitHooks() };
    Relay::RequestHandler handler { context.get_executor(), makeCodec(), makeHooks(), makeHandlerSettings(), client, selector, budgets, quarantine, metrics };
    HTTP::Server relay { context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& response) { return handler.handle(std::move(request), response); } };
    Core::Address address;
    std::vector<std::unique_ptr<HTTP::Server>> endpoints;
    // Requests received by the endpoints.
    std::vector<HTTP::Request> arrivals;
    Answer answer;
    // Body of the answers to status requests; empty: the endpoints do not answer them.
    std::optional<std::string> status { "0" };
    int statusRequests { 0 };
    unsigned statusCode { 200 };
    HTTP::Headers statusHeaders;

    // Every endpoint calls the current `answer`.
    explicit Fixture(size_t endpointCount = 2)
    {
        Core::Reason reason;
        budgets.setIncarnation(1);
        permits.setAnnounced(Core::SteadyClock::now() - Relay::PermitService::settlingTime);
        budgets.adopt(*configuration);
        address = relay.listen({ "127.0.0.1", 0 }, reason).value();
        for (size_t i = 0; i < endpointCount; ++i) {
            endpoints.push_back(std::make_unique<HTTP::Server>(context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& response) -> Core::Task<void> {
                if (request.target == "/status") {
                    ++statusRequests;
                    Core::Reason ignored;
                    if (status)
                        co_await response.send({ statusCode, statusHeaders, *status }, ignored);
                    else
                        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::seconds(5)));
                    co_return;
                }
                arrivals.push_back(request);
                co_await answer(request, response);
            }));
            Relay::Endpoint endpoint;
            endpoint.id = "e" + std::to_string(i);
            endpoint.service = "service";
            endpoint.address = endpoints.back()->listen({ "127.0.0.1", 0 }, reason).value();
            directory.put(endpoint);
        }
    }

    // Takes grants directly from the ledger.
    Relay::BudgetHooks makeBudgetHooks()
    {
        Relay::BudgetHooks hooks;
        hooks.submit = [this](Relay::GrantChange change, bool isUrgent, Core::Deadline deadline, Core::Reason& reason) { return writer.submit(std::move(change), isUrgent, deadline, reason); };
        hooks.allocatorOf = [](const std::string&) -> std::optional<Core::Address> { return std::nullopt; };
        return hooks;
    }

    // How the relay finds where streams began, if set.
    Relay::StreamOriginStore* origins { nullptr };

    // The only daemon issues all permits.
    Relay::PermitHooks makePermitHooks()
    {
        Relay::PermitHooks hooks;
        hooks.issuerOf = [this](const std::string&) { return silentIssuer; };
        hooks.request = [this](Core::Address, Relay::PermitRequest, Core::Reason& reason) -> Core::Task<std::optional<Relay::PermitReply>> {
            ++permitCalls;
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(20)));
            reason.kind = Core::FailureKind::TimedOut;
            co_return std::nullopt;
        };
        hooks.daemons = [this] { return daemons; };
        hooks.isFleetCurrent = [] { return true; };
        return hooks;
    }

    // Silence limits short enough for tests.
    static Relay::HandlerSettings makeHandlerSettings()
    {
        Relay::HandlerSettings settings;
        settings.streamIdleTimeoutMs = 100;
        settings.firstEventTimeoutMs = 150;
        settings.statusTimeoutMs = 100;
        settings.survivalTimeMs = 40;
        return settings;
    }

    Relay::HandlerHooks makeHooks()
    {
        Relay::HandlerHooks hooks;
        hooks.configuration = [this] { return configuration; };
        hooks.unservable = []() -> std::optional<Relay::Refusal> { return std::nullopt; };
        hooks.refreshConfiguration = [this]() -> Core::Task<bool> { co_return isStoreAnswering; };
        hooks.storeSilence = [this] { return storeSilence; };
        hooks.linkDelay = [this] { return linkDelay; };
        hooks.acquirePlace = [this](const Relay::Endpoint& endpoint, Core::Deadline) -> Core::Task<std::optional<uint64_t>> {
            co_return acquirePlace ? acquirePlace(endpoint) : std::optional<uint64_t>(0);
        };
        hooks.returnPlace = [this](const std::string& endpoint, uint64_t, std::optional<double> maxRejections) {
            if (returnPlace)
                returnPlace(endpoint, maxRejections);
        };
        hooks.isCutOff = [this](const std::string& service) { return isCutOff && isCutOff(service); };
        hooks.relayPeer = [this](const std::set<Core::Address>& asked) -> std::optional<Core::Address> {
            for (const Core::Address& peer : relayPeers) {
                if (!asked.contains(peer))
                    return peer;
            }
            return std::nullopt;
        };
        hooks.relayEnded = [this](const Core::Address&, bool takesRequests) { relayOutcomes.push_back(takesRequests); };
        hooks.servesUntil = [this] { return servesUntil; };
        hooks.rejectEndpoint = [this](const std::string& endpoint) { rejected.push_back(endpoint); };
        hooks.findOrigin = [this](std::optional<uint64_t> stream, std::string service, Core::Deadline deadline, Core::Reason& reason) -> Core::Task<std::optional<Relay::StreamOriginStore::Found>> {
            co_return origins ? co_await origins->find(stream, service, deadline, reason) : std::nullopt;
        };
        hooks.streamBegan = [this](uint64_t stream, const Relay::StreamOrigin& origin, Core::Deadline until) {
            if (origins)
                origins->streamBegan(stream, origin, until);
        };
        hooks.streamEnded = [this](uint64_t stream, bool isComplete) {
            if (origins)
                origins->streamEnded(stream, isComplete);
        };
        hooks.acquirePermit = [this](std::string endpoint, double perSecond) -> Core::Task<Relay::PermitService::Permit> {
            Relay::PermitService::Permit permit = co_await permits.acquire(std::move(endpoint), perSecond);
            if (permitDelay.count() > 0)
                co_await Core::sleepUntil(Core::Deadline::after(permitDelay));
            co_return permit;
        };
        hooks.endpointLeaves = [this](const Relay::Endpoint& endpoint, const std::string&) { directory.markLeaving(endpoint, Core::SteadyClock::now()); };
        return hooks;
    }

    HTTP::Request makeRequest(const std::string& target, HTTP::Headers more = {})
    {
        HTTP::Request request { "POST", target, { { "Id", "r1" }, { "Key", "key" } }, "body" };
        request.headers.insert(request.headers.end(), more.begin(), more.end());
        return request;
    }

    std::optional<HTTP::Response> call(HTTP::Request request)
    {
        Core::Reason reason;
        HTTP::Client caller(context.get_executor());
        return TestSupport::runTask(context, caller.roundTrip(address, std::move(request), Core::Deadline::after(std::chrono::seconds(20)), reason));
    }
};

// The headers of an endpoint's valid response.
inline HTTP::Headers sealed(const HTTP::Request& request)
{
    return { { "Id", HTTP::findHeader(request.headers, "Id").value_or("") }, { "Seal", "s" } };
}

}
