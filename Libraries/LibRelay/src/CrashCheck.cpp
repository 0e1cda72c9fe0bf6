#include "LibRelay/CrashCheck.h"

#include <utility>

namespace Relay {

using Core::Deadline;
using Core::Reason;

// Requests that break within this time of a check share its result.
static constexpr std::chrono::milliseconds resultLifetime(1'000);
// A process that ends may close its connections before it closes its port, so a connection that is accepted and breaks is tried
// again after this delay, this many times in all.
static constexpr std::chrono::milliseconds retryDelay(40);
static constexpr int maxConnections = 3;

CrashCheck::CrashCheck(const boost::asio::any_io_executor& executor, std::shared_ptr<HTTP::Client> client, const EndpointSelector& selector, WireCodec codec, std::chrono::milliseconds timeout)
    : m_executor(executor)
    , m_client(std::move(client))
    , m_selector(selector)
    , m_codec(std::move(codec))
    , m_timeout(timeout)
{
}

Core::Task<EngineState> CrashCheck::check(Endpoint endpoint, Core::SteadyClock::time_point notBefore)
{
    if (!m_codec.statusRequest)
        co_return EngineState::Unknown;
    std::erase_if(m_checks, [](const auto& entry) { return entry.second->isFinished && entry.second->validUntil.hasPassed(); });
    std::shared_ptr<Check>& known = m_checks[endpoint.id];
    bool isOutdated = known && known->startedAt < notBefore && known->state != EngineState::Ended;
    if (!known || isOutdated || known->endpoint.startedAtMs != endpoint.startedAtMs) {
        known = std::make_shared<Check>(m_executor);
        known->endpoint = endpoint;
        Core::spawn(m_executor, "check engine", run(known, m_client, m_selector, m_codec.statusRequest(), Deadline::after(m_timeout)));
    }
    std::shared_ptr<Check> check = known;
    while (!check->isFinished)
        co_await check->finished.wait(Deadline::after(m_timeout));
    co_return check->state;
}

Core::Task<void> CrashCheck::run(std::shared_ptr<Check> check, std::shared_ptr<HTTP::Client> client, const EndpointSelector& selector, HTTP::Request request, Deadline deadline)
{
    for (int connection = 0; connection < maxConnections && check->state == EngineState::Unknown && !deadline.hasPassed(); ++connection) {
        if (connection > 0)
            co_await Core::sleepUntil(std::min(deadline, Deadline::after(retryDelay)));
        HTTP::CallOptions options;
        options.use = HTTP::ConnectionUse::Fresh;
        bool wasWithheld = false;
        options.guard = [&selector, &wasWithheld, check] {
            wasWithheld = selector.isEvacuated(check->endpoint);
            return !wasWithheld;
        };
        options.connectionRefused = [check] { check->state = EngineState::Ended; };
        Reason ignored;
        if (co_await client->call(check->endpoint.address, request, deadline, std::move(options), ignored))
            check->state = EngineState::Running;
        // The endpoint accepts connections, and no more than that may be asked.
        if (wasWithheld)
            break;
    }
    check->isFinished = true;
    check->validUntil = Deadline::after(resultLifetime);
    check->finished.notifyAll();
}

}
