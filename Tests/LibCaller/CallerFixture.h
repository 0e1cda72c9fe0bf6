#pragma once

#include "LibCaller/CallerApi.h"
#include "LibCore/Hash.h"
#include "LibEmulator/AnswerText.h"
#include "LibEmulator/EngineEmulator.h"
#include "LibEmulator/ServiceEmulator.h"
#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"
#include "RunTask.h"
#include <map>

// CallerApi with one emulated engine and one emulated service. The rest of the daemon is replaced by fakes with
// switchable failures.
struct CallerFixture {
    boost::asio::io_context context;
    HTTP::Client client { context.get_executor() };
    Endpoint::EngineClient engines { client };
    Endpoint::ServiceClient services { client };
    Emulator::EngineEmulator engine { context.get_executor(), engineSettings() };
    Emulator::ServiceEmulator service { context.get_executor() };

    // State and recorded calls of the fakes.
    Ledger::Tokens availableTokens { 1000 };
    Ledger::Tokens heldTokens { 0 };
    std::map<std::string, Witness::Record> records;
    std::vector<Ledger::Usage> bills;
    std::map<std::string, Ledger::Claim> claims;
    std::map<std::string, Ledger::Outcome> outcomes;
    std::vector<std::string> chosen;
    std::optional<Caller::Refusal> admissionRefusal;
    std::vector<std::string> refusalCodes;
    std::vector<Caller::RequestOutcome> requestOutcomes;
    int firstEvents { 0 };
    bool hasWitness { true };
    bool hasLedger { true };
    Core::Address engineAddress;
    Core::Address serviceAddress;

    std::shared_ptr<Intent::FleetState> state { std::make_shared<Intent::FleetState>() };
    Caller::Hooks hooks { makeHooks() };
    Caller::ChatHandler chat { context.get_executor(), hooks, engines };
    Caller::ServiceHandler serviceHandler { context.get_executor(), hooks, services };
    Caller::CallerApi api { hooks, chat, serviceHandler, [] { return true; }, [] { return ""; } };
    HTTP::Server server { context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return api.handle(std::move(request), writer); } };
    Core::Address address;

    static Emulator::EngineSettings engineSettings()
    {
        Emulator::EngineSettings settings;
        settings.timePerTokenUs = 1000;
        settings.prefillMsPer1000Tokens = 0;
        return settings;
    }

    CallerFixture()
    {
        Core::Reason reason;
        engineAddress = engine.listen({ "127.0.0.1", 0 }, reason).value();
        serviceAddress = service.listen({ "127.0.0.1", 0 }, reason).value();
        address = server.listen({ "127.0.0.1", 0 }, reason).value();
        state->workspaces["orders"] = { "orders", 0, 25, true };
        state->keys[Core::sha256Hex("key")] = { Core::sha256Hex("key"), "orders", "default" };
        state->models["quote"] = { "quote", 64, 4 };
        state->endpoints["engine"].address = engineAddress;
        state->services["desk"] = { "desk", { "desk-1" }, false, 10 };
        state->services["stock"] = { "stock", { "desk-1" }, true, 3 };
    }

    Caller::Hooks makeHooks()
    {
        Caller::Hooks made;
        made.self = { "entry-1", 1 };
        made.state = [this] { return state; };
        made.checkAdmission = [this] { return admissionRefusal; };
        made.acquire = [this](Ledger::BudgetId budget, Ledger::Tokens tokens, Core::Deadline, Core::Reason& reason) -> Core::Task<std::optional<Caller::Hold>> {
            if (tokens > availableTokens) {
                reason = { Core::FailureKind::Refused, "hold", "ledger", "budget exhausted" };
                co_return std::nullopt;
            }
            availableTokens -= tokens;
            heldTokens += tokens;
            co_return Caller::Hold { budget, tokens };
        };
        made.settle = [this](const Caller::Hold& hold, Ledger::Tokens used) {
            heldTokens -= hold.tokens;
            availableTokens += hold.tokens - used;
        };
        made.release = [this](const Caller::Hold& hold) {
            heldTokens -= hold.tokens;
            availableTokens += hold.tokens;
        };
        made.openAttempt = [this](Witness::Record record, bool mayBeRetry, Core::Deadline, Core::Reason& reason) { return open(std::move(record), mayBeRetry, reason); };
        made.findAttempt = [this](std::string requestId, Core::Deadline, Core::Deadline) -> Core::Task<std::optional<Witness::Record>> { co_return find(requestId); };
        made.isJoined = [](std::string, Core::Deadline) -> Core::Task<bool> { co_return false; };
        made.leaveAttempt = [](const std::string&) {};
        made.closeAttempt = [this](Ledger::Usage usage, Core::Deadline, Core::Reason& reason) -> Core::Task<bool> {
            reason = { Core::FailureKind::Unavailable, "close", "witness", "no witness" };
            if (hasWitness)
                records[usage.attemptId].usage = usage;
            co_return hasWitness;
        };
        made.discardAttempt = [this](const std::string& attemptId) { records.erase(attemptId); };
        made.queueBill = [this](Ledger::Usage usage) { bills.push_back(std::move(usage)); };
        made.chooseRoute = [this](Caller::RouteQuery query, Core::Deadline, Core::Reason& reason) -> Core::Task<std::optional<Caller::Route>> {
            if (!query.excluded.empty()) {
                reason = { Core::FailureKind::Refused, "choose", "routes", "none left" };
                co_return std::nullopt;
            }
            chosen.push_back(query.model + query.service);
            co_return query.service.empty() ? Caller::Route { "engine", engineAddress, 1 } : Caller::Route { "desk-1", serviceAddress, 1 };
        };
        made.finishRoute = [](const Caller::Route&, Caller::RouteResult) {};
        made.submit = [this](uint32_t, std::vector<Ledger::Entry> entries, Core::Deadline, Core::Reason& reason) { return submit(std::move(entries), reason); };
        made.observer.onRefused = [this](const Caller::Refusal& refusal) { refusalCodes.push_back(refusal.code); };
        made.observer.onEnded = [this](Caller::RequestOutcome outcome) { requestOutcomes.push_back(outcome); };
        made.observer.onFirstEvent = [this](std::chrono::nanoseconds) { ++firstEvents; };
        return made;
    }

    std::optional<Witness::Record> find(const std::string& requestId) const
    {
        for (const std::pair<const std::string, Witness::Record>& item : records) {
            if (item.second.requestId == requestId)
                return item.second;
        }
        return std::nullopt;
    }

    Core::Task<std::optional<Caller::Hooks::OpenResult>> open(Witness::Record record, bool mayBeRetry, Core::Reason& reason)
    {
        reason = { Core::FailureKind::Unavailable, "open", "witness", "no witness" };
        if (!hasWitness)
            co_return std::nullopt;
        std::optional<Witness::Record> existing = mayBeRetry ? find(record.requestId) : std::nullopt;
        if (existing)
            co_return Caller::Hooks::OpenResult { existing };
        records[record.attemptId] = record;
        co_return Caller::Hooks::OpenResult {};
    }

    Core::Task<std::optional<std::vector<Ledger::EntryResult>>> submit(std::vector<Ledger::Entry> entries, Core::Reason& reason)
    {
        reason = { Core::FailureKind::Unavailable, "commit", "platform", "down" };
        if (!hasLedger)
            co_return std::nullopt;
        Ledger::EntryResult result;
        if (const Ledger::Claim* claim = std::get_if<Ledger::Claim>(&entries.front())) {
            bool isNew = claims.emplace(claim->requestId, *claim).second;
            if (!isNew) {
                result.code = Ledger::ResultCode::AlreadyClaimed;
                result.existing = Ledger::ExistingClaim { claims[claim->requestId].claimant, std::nullopt };
                if (outcomes.contains(claim->requestId))
                    result.existing->outcome = outcomes[claim->requestId];
            }
        }
        if (const Ledger::Outcome* outcome = std::get_if<Ledger::Outcome>(&entries.front()))
            outcomes[outcome->requestId] = *outcome;
        if (const Ledger::Void* released = std::get_if<Ledger::Void>(&entries.front()))
            claims.erase(released->requestId);
        co_return std::vector<Ledger::EntryResult> { result };
    }

    static HTTP::Request chatRequest(bool isStreaming, const char* idempotencyKey = nullptr)
    {
        HTTP::Request request { "POST", "/v1/chat/completions", { { "Authorization", "Bearer key" } }, "" };
        request.body = std::string(R"({"model":"quote","max_tokens":20,"messages":[{"role":"user","content":"satchels"}],"stream":)") + (isStreaming ? "true}" : "false}");
        if (idempotencyKey)
            request.headers.push_back({ "Idempotency-Key", idempotencyKey });
        return request;
    }

    static HTTP::Request serviceRequest(const char* path, const char* idempotencyKey = nullptr, std::string body = "{}")
    {
        HTTP::Request request { "POST", path, { { "Authorization", "Bearer key" } }, std::move(body) };
        if (idempotencyKey)
            request.headers.push_back({ "Idempotency-Key", idempotencyKey });
        return request;
    }

    Core::Task<std::optional<HTTP::Response>> callTask(HTTP::Request request)
    {
        Core::Reason reason;
        co_return co_await client.roundTrip(address, std::move(request), Core::Deadline::after(std::chrono::seconds(30)), reason);
    }

    std::optional<HTTP::Response> call(HTTP::Request request) { return TestSupport::runTask(context, callTask(std::move(request))); }
};
