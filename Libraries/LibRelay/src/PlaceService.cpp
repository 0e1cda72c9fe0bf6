#include "LibRelay/PlaceService.h"

#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include "PeerMessage.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace Relay {

using nlohmann::json;

static constexpr size_t maxMessageDepth = 1;
// Longest time for which another daemon may hold a place.
static constexpr int64_t maxHoldMs = 600'000;

std::string encodePlaceRequest(const PlaceRequest& request)
{
    json message { { "endpoint", request.endpoint }, { "host", request.host }, { "number", request.number }, { "return", request.isReturn }, { "slots", request.slots }, { "hold_ms", request.holdMs } };
    if (request.maxRejections)
        message["max_rejections"] = *request.maxRejections;
    return packMessage(message);
}

std::optional<PlaceRequest> decodePlaceRequest(const std::string& bytes, Core::Reason& reason)
{
    return unpackMessage(bytes, maxMessageDepth, "decode place request", reason, [](const json& message) {
        PlaceRequest request { message.at("endpoint").get<std::string>(), message.at("host").get<std::string>(), message.at("number").get<uint64_t>(), message.at("return").get<bool>(), message.at("slots").get<int64_t>(), std::clamp<int64_t>(message.at("hold_ms").get<int64_t>(), 0, maxHoldMs), std::nullopt };
        if (message.contains("max_rejections"))
            request.maxRejections = message.at("max_rejections").get<double>();
        return request;
    });
}

std::string encodePlaceReply(bool isGranted)
{
    return packMessage({ { "granted", isGranted } });
}

std::optional<bool> decodePlaceReply(const std::string& bytes, Core::Reason& reason)
{
    return unpackMessage(bytes, maxMessageDepth, "decode place reply", reason, [](const json& message) { return message.at("granted").get<bool>(); });
}

PlaceService::PlaceService(std::string host, PlaceHooks hooks)
    : m_host(std::move(host))
    , m_hooks(std::move(hooks))
    , m_lastNumber(Core::randomBelow(std::numeric_limits<uint64_t>::max() / 2))
{
}

bool PlaceService::fitsOwnShare(const Endpoint& endpoint) const
{
    size_t daemons = m_hooks.daemons();
    if (daemons == 0)
        return false;
    double share = static_cast<double>(std::max<int64_t>(endpoint.slots, 1)) * ownSharesFraction / static_cast<double>(daemons);
    // A share below one place is one place at that part of the endpoints.
    static constexpr uint64_t parts = 1'000'000;
    double fraction = static_cast<double>(Core::hash64(endpoint.id, Core::hash64(m_host)) % parts) / parts;
    return static_cast<double>(m_hooks.inFlight(endpoint.id)) + 1 <= std::floor(share + fraction);
}

Core::Task<std::optional<uint64_t>> PlaceService::acquire(Endpoint endpoint, Core::Deadline deadline)
{
    uint64_t number = ++m_lastNumber;
    PlaceRequest request { endpoint.id, m_host, number, false, endpoint.slots, deadline.remaining().count(), std::nullopt };
    std::optional<bool> isGranted;
    Core::Reason reason;
    if (std::optional<Core::Address> issuer = m_hooks.issuerOf(endpoint.id))
        isGranted = co_await m_hooks.call(*issuer, request, reason);
    else
        isGranted = serve(request, Core::SteadyClock::now());
    if (!isGranted)
        isGranted = fitsOwnShare(endpoint);
    co_return *isGranted ? std::optional<uint64_t>(number) : std::nullopt;
}

Core::Task<void> PlaceService::giveBack(std::string endpoint, uint64_t number, std::optional<double> maxRejections)
{
    PlaceRequest request { endpoint, m_host, number, true, 0, 0, maxRejections };
    Core::Reason ignored;
    if (std::optional<Core::Address> issuer = m_hooks.issuerOf(endpoint))
        co_await m_hooks.call(*issuer, request, ignored);
    else
        serve(request, Core::SteadyClock::now());
}

std::optional<bool> PlaceService::serve(const PlaceRequest& request, TimePoint now)
{
    PlaceTable::Holder holder { request.host, request.number };
    if (request.isReturn) {
        m_places.giveBack(request.endpoint, holder, request.maxRejections, now);
        return true;
    }
    if (!m_hooks.isIssuer(request.endpoint))
        return std::nullopt;
    size_t slots = static_cast<size_t>(std::max<int64_t>(request.slots, 1));
    return m_places.take(request.endpoint, holder, slots, Core::Deadline(now + std::chrono::milliseconds(request.holdMs)), now);
}

}
