#include "LibRelay/PermitService.h"

#include "LibCore/Random.h"
#include "PeerMessage.h"
#include <algorithm>

namespace Relay {

using nlohmann::json;
using std::chrono::milliseconds;

static constexpr size_t maxMessageDepth = 1;
// A daemon that has not used its share for this long starts anew.
static constexpr milliseconds ownShareLifetime(5'000);
// Longest time for which a daemon does without an endpoint: its limit may rise or end meanwhile, and an issuer may answer again.
static constexpr milliseconds maxWait(500);
// An endpoint gets this many requests a second whatever it names, or the end of its limit would go unnoticed.
static constexpr double minPerSecond = 0.1;

std::string encodePermitRequest(const PermitRequest& request)
{
    return packMessage({ { "endpoint", request.endpoint }, { "per_second", request.perSecond } });
}

std::optional<PermitRequest> decodePermitRequest(const std::string& bytes, Core::Reason& reason)
{
    return unpackMessage(bytes, maxMessageDepth, "decode permit request", reason, [](const json& message) {
        return PermitRequest { message.at("endpoint").get<std::string>(), message.at("per_second").get<double>() };
    });
}

std::string encodePermitReply(const PermitReply& reply)
{
    return packMessage({ { "granted", reply.isGranted }, { "retry_after_ms", reply.retryAfterMs } });
}

std::optional<PermitReply> decodePermitReply(const std::string& bytes, Core::Reason& reason)
{
    return unpackMessage(bytes, maxMessageDepth, "decode permit reply", reason, [](const json& message) {
        return PermitReply { message.at("granted").get<bool>(), std::clamp<int64_t>(message.at("retry_after_ms").get<int64_t>(), 0, maxWait.count()) };
    });
}

PermitService::PermitService(PermitHooks hooks)
    : m_hooks(std::move(hooks))
{
}

static PermitReply replyOf(std::optional<PermitService::TimePoint> refusedUntil, PermitService::TimePoint now)
{
    if (!refusedUntil)
        return { true, 0 };
    return { false, std::clamp<int64_t>(std::chrono::ceil<milliseconds>(*refusedUntil - now).count(), 1, maxWait.count()) };
}

Core::Task<PermitService::Permit> PermitService::acquire(std::string endpoint, double perSecond, double ownSharesFraction)
{
    PermitRequest request { std::move(endpoint), std::max(perSecond, minPerSecond) };
    std::optional<PermitReply> reply;
    bool hasTimedOut = false;
    if (std::optional<Core::Address> issuer = m_hooks.issuerOf(request.endpoint)) {
        Core::Reason reason;
        reply = co_await m_hooks.request(*issuer, request, reason);
        // A call that was sent and not answered ends with an unknown outcome.
        hasTimedOut = !reply && (reason.kind == Core::FailureKind::TimedOut || reason.kind == Core::FailureKind::OutcomeUnknown);
    } else {
        reply = serve(request, Core::SteadyClock::now());
    }
    if (reply)
        co_return Permit { *reply, false, false };
    co_return Permit { takeOwnShare(request, Core::SteadyClock::now(), ownSharesFraction), true, hasTimedOut };
}

bool PermitService::isIssuer(const std::string& endpoint, TimePoint now) const
{
    return !m_isStopped && now >= m_settledAt && m_hooks.isFleetCurrent() && !m_hooks.issuerOf(endpoint);
}

std::optional<PermitReply> PermitService::serve(const PermitRequest& request, TimePoint now)
{
    if (!isIssuer(request.endpoint, now))
        return std::nullopt;
    auto pacer = m_issued.find(request.endpoint);
    if (pacer == m_issued.end()) {
        std::erase_if(m_issued, [now](const auto& entry) { return entry.second.isIdle(now); });
        pacer = m_issued.emplace(request.endpoint, now).first;
    }
    return replyOf(pacer->second.take(request.perSecond, issuerBurst, now), now);
}

PermitReply PermitService::takeOwnShare(const PermitRequest& request, TimePoint now, double ownSharesFraction)
{
    size_t daemons = m_hooks.daemons();
    if (daemons == 0 || m_isStopped)
        return { false, maxWait.count() };
    std::erase_if(m_ownShares, [now](const auto& entry) { return now - entry.second.usedAt > ownShareLifetime; });
    double perSecond = request.perSecond * ownSharesFraction / static_cast<double>(daemons);
    auto share = m_ownShares.find(request.endpoint);
    if (share == m_ownShares.end()) {
        // All daemons may start at the same moment, when an issuer fails; a random first turn spreads them.
        std::chrono::microseconds firstTurn(static_cast<int64_t>(Core::randomBelow(static_cast<uint64_t>(RequestPacer::interval(perSecond).count()))));
        share = m_ownShares.emplace(request.endpoint, OwnShare { RequestPacer(now + firstTurn), now }).first;
    }
    share->second.usedAt = now;
    return replyOf(share->second.pacer.take(perSecond, milliseconds(0), now), now);
}

}
