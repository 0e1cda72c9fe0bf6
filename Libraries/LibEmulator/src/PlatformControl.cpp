#include "PlatformState.h"
#include <nlohmann/json.hpp>

namespace Emulator {

using nlohmann::json;

HTTP::Response errorResponse(unsigned status, const std::string& message)
{
    std::string body = json { { "error", message } }.dump(-1, ' ', false, json::error_handler_t::replace);
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

static HTTP::Response setFaults(PlatformEmulator::State& state, const std::string& body)
{
    Core::Reason reason;
    if (!state.faults.apply(body, reason))
        return errorResponse(400, reason.message);
    // Waiting watches must also be affected by the new faults.
    state.table.interruptWatches([&](const std::string& client) { return state.faults.isOutageActive() || state.faults.isBlocked(client); });
    return { 200, { { "Content-Type", "application/json" } }, "{}" };
}

static HTTP::Response setHosts(PlatformEmulator::State& state, const std::string& body)
{
    Core::Reason reason;
    std::optional<std::vector<Platform::HostRecord>> hosts = Platform::decodeHosts(body, reason);
    if (!hosts)
        return errorResponse(400, reason.message);
    state.hosts.set(std::move(*hosts), Core::SteadyClock::now());
    return { 200, { { "Content-Type", "application/json" } }, "{}" };
}

static HTTP::Response reportCounters(const PlatformEmulator::State& state)
{
    const PlatformCounters& counters = state.counters;
    json report {
        { "get", counters.get },
        { "put", counters.put },
        { "remove", counters.remove },
        { "list", counters.list },
        { "watch", counters.watch },
        { "hosts", counters.hosts },
        { "conflicts", counters.conflicts },
        { "rate_limited", counters.rateLimited },
        { "lost_replies", counters.lostReplies },
        { "during_outage", counters.duringOutage },
        { "blocked", counters.blocked },
        { "bytes_received", counters.bytesReceived },
        { "bytes_sent", counters.bytesSent },
        { "waiting_watches", state.table.waitingWatches() },
        { "revision", state.table.revision() },
    };
    return { 200, { { "Content-Type", "application/json" } }, report.dump() };
}

Core::Task<void> serveControl(std::shared_ptr<PlatformEmulator::State> state, HTTP::Request request, HTTP::ResponseWriter& writer)
{
    std::string path = HTTP::pathOf(request.target);
    HTTP::Response response = errorResponse(404, "unknown control path '" + request.method + " " + path + "'");
    if (request.method == "POST" && path == "/control/faults")
        response = setFaults(*state, request.body);
    else if (request.method == "POST" && path == "/control/hosts")
        response = setHosts(*state, request.body);
    else if (request.method == "GET" && path == "/control/counters")
        response = reportCounters(*state);
    Core::Reason ignored;
    co_await writer.send(std::move(response), ignored);
}

}
