#include "LibEmulator/ServiceEmulator.h"

#include "JsonReply.h"
#include "LibCore/Hash.h"
#include <map>
#include <utility>

namespace Emulator {

struct ServiceEmulator::State {
    ServiceFaults faults;
    // Executions by Idempotency-Key and path.
    std::map<std::pair<std::string, std::string>, int64_t> runs;
    int64_t refused { 0 };
};

static HTTP::Response counters(const ServiceEmulator::State& state)
{
    nlohmann::json calls = nlohmann::json::array();
    int64_t total = 0;
    for (const std::pair<const std::pair<std::string, std::string>, int64_t>& entry : state.runs) {
        calls.push_back({ { "idempotency_key", entry.first.first }, { "path", entry.first.second }, { "runs", entry.second } });
        total += entry.second;
    }
    return jsonReply(200, { { "calls", std::move(calls) }, { "runs", total }, { "refused", state.refused } });
}

static HTTP::Response replaceFaults(ServiceEmulator::State& state, const HTTP::Request& request)
{
    Core::Reason reason;
    std::optional<ServiceFaults> faults = ServiceFaults::parse(request.body, state.faults, reason);
    if (!faults)
        return errorReply(400, "bad_request", reason.message);
    state.faults = *faults;
    return jsonReply(200, nlohmann::json::object());
}

static HTTP::Response executeCall(ServiceEmulator::State& state, const HTTP::Request& request)
{
    std::string key = HTTP::findHeader(request.headers, "Idempotency-Key").value_or("");
    std::string path = HTTP::pathOf(request.target);
    int64_t runNumber = ++state.runs[{ key, path }];
    return jsonReply(200,
        { { "run", runNumber }, { "path", path }, { "idempotency_key", key },
            { "body_hash", Core::hash128Hex(request.body) } });
}

static Core::Task<void> handle(std::shared_ptr<ServiceEmulator::State> state, HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    std::string path = HTTP::pathOf(request.target);
    if (path == "/control/counters") {
        co_await writer.send(counters(*state), ignored);
        co_return;
    }
    if (path == "/control/faults") {
        co_await writer.send(replaceFaults(*state, request), ignored);
        co_return;
    }
    if (state->faults.delayMs > 0)
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(state->faults.delayMs)));
    if (state->faults.refuse.consume()) {
        ++state->refused;
        co_await writer.send(errorReply(503, "unavailable", "rejected by the 'refuse' fault"), ignored);
        co_return;
    }
    if (state->faults.closeBeforeRun.consume()) {
        writer.abort();
        co_return;
    }
    HTTP::Response response = executeCall(*state, request);
    if (state->faults.closeAfterRun.consume()) {
        writer.abort();
        co_return;
    }
    co_await writer.send(std::move(response), ignored);
}

ServiceEmulator::ServiceEmulator(const boost::asio::any_io_executor& executor)
    : m_state(std::make_shared<State>())
    , m_server(executor, [state = m_state](HTTP::Request request, HTTP::ResponseWriter& writer) { return handle(state, std::move(request), writer); })
{
}

ServiceEmulator::~ServiceEmulator() = default;

std::optional<Core::Address> ServiceEmulator::listen(const Core::Address& address, Core::Reason& reason)
{
    return m_server.listen(address, reason);
}

void ServiceEmulator::setFaults(const ServiceFaults& faults)
{
    m_state->faults = faults;
}

int64_t ServiceEmulator::runsOf(const std::string& idempotencyKey, const std::string& path) const
{
    std::map<std::pair<std::string, std::string>, int64_t>::const_iterator found = m_state->runs.find({ idempotencyKey, path });
    return found == m_state->runs.end() ? 0 : found->second;
}

void ServiceEmulator::stop()
{
    m_server.closeAll();
}

}
