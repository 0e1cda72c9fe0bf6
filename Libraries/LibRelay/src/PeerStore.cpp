#include "LibRelay/PeerStore.h"

#include "LibCore/Cbor.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;
using nlohmann::json;

static constexpr size_t maxMessageDepth = 6;
// Upper bound on the time spent on a peer's call.
static constexpr int64_t maxServiceMs = 5'000;

// One call of the store's interface, as sent to a peer.
struct PeerStore::Call {
    enum class Operation : uint8_t {
        Get,
        Put,
        Remove,
        List,
        Watch,
    };
    Operation operation { Operation::Get };
    std::string name;
    std::string value;
    Platform::Version version { 0 };

    bool isWrite() const { return operation == Operation::Put || operation == Operation::Remove; }
    bool isWatch() const { return operation == Operation::Watch; }
};

static std::string pack(const json& message)
{
    std::vector<uint8_t> bytes = json::to_cbor(message);
    return std::string(bytes.begin(), bytes.end());
}

static std::optional<json> unpack(const std::string& bytes, Reason& reason)
{
    json message = Core::isPlainCbor(bytes, maxMessageDepth) ? json::from_cbor(bytes, true, false) : json(json::value_t::discarded);
    if (!message.is_discarded())
        return message;
    reason = { FailureKind::Invalid, "read store call", "peer", "malformed CBOR message" };
    return std::nullopt;
}

static json objectJson(const Platform::Object& object)
{
    return json::array({ object.name, object.version, object.value });
}

static Platform::Object objectFrom(const json& value)
{
    return { value.at(0).get<std::string>(), value.at(1).get<Platform::Version>(), value.at(2).get<std::string>() };
}

static json resultJson(const Platform::Object& object) { return objectJson(object); }
static json resultJson(Platform::Version version) { return version; }
static json resultJson(bool done) { return done; }

static json resultJson(const Platform::Listing& listing)
{
    json objects = json::array();
    for (const Platform::Object& object : listing.objects)
        objects.push_back(objectJson(object));
    return json::array({ listing.revision, std::move(objects) });
}

static json resultJson(const Platform::Changes& changes)
{
    json list = json::array();
    for (const Platform::Change& change : changes.changes)
        list.push_back(json::array({ objectJson(change.object), change.isDeleted }));
    return json::array({ changes.revision, std::move(list) });
}

static void readResult(const json& value, Platform::Object& object) { object = objectFrom(value); }
static void readResult(const json& value, Platform::Version& version) { version = value.get<Platform::Version>(); }
static void readResult(const json& value, bool& done) { done = value.get<bool>(); }

static void readResult(const json& value, Platform::Listing& listing)
{
    listing.revision = value.at(0).get<Platform::Version>();
    for (const json& object : value.at(1))
        listing.objects.push_back(objectFrom(object));
}

static void readResult(const json& value, Platform::Changes& changes)
{
    changes.revision = value.at(0).get<Platform::Version>();
    for (const json& change : value.at(1))
        changes.changes.push_back({ objectFrom(change.at(0)), change.at(1).get<bool>() });
}

static std::string packReason(const Reason& reason)
{
    return pack({ { "kind", static_cast<int>(reason.kind) }, { "text", reason.text() } });
}

PeerStore::PeerStore(
    const boost::asio::any_io_executor& executor, Platform::ObjectStore direct, std::string probeName, PeerStoreSettings settings, PeerStoreHooks hooks)
    : m_executor(executor)
    , m_direct(std::move(direct))
    , m_probeName(std::move(probeName))
    , m_settings(settings)
    , m_hooks(std::move(hooks))
{
}

void PeerStore::recordSuccess()
{
    m_failures = 0;
    if (std::exchange(m_isLost, false))
        m_hooks.regained();
}

void PeerStore::recordFailure(const Reason& reason)
{
    if (m_isLost || ++m_failures < m_settings.failureThreshold)
        return;
    m_isLost = true;
    m_hooks.lost(reason);
    Core::spawn(m_executor, "probe store", probe());
}

Core::Task<void> PeerStore::probe()
{
    Deadline nextServedProbe = Deadline::after(std::chrono::milliseconds(m_settings.servedProbeIntervalMs));
    while (m_isLost && !m_isStopping) {
        co_await Core::sleepUntil(Deadline::after(std::chrono::milliseconds(m_settings.probeIntervalMs)));
        if (m_hooks.isServedByPeers && m_hooks.isServedByPeers() && !nextServedProbe.hasPassed())
            continue;
        nextServedProbe = Deadline::after(std::chrono::milliseconds(m_settings.servedProbeIntervalMs));
        Reason reason;
        std::optional<Platform::Object> object
            = co_await m_direct.get(m_probeName, Deadline::after(std::chrono::milliseconds(m_settings.probeTimeoutMs)), reason);
        if (object || reason.kind == FailureKind::NotFound)
            recordSuccess();
    }
}

// Whether a failure means that the store does not serve this host, as opposed to the store rejecting the call.
static bool isOutage(FailureKind kind)
{
    return kind == FailureKind::Unavailable || kind == FailureKind::TimedOut || kind == FailureKind::RateLimited || kind == FailureKind::OutcomeUnknown;
}

Core::Task<std::optional<std::string>> PeerStore::askPeers(const Call& call, Deadline deadline, Reason& reason)
{
    if (!m_peerBackoffUntil.hasPassed()) {
        reason = { FailureKind::Unavailable, "ask peers for the store", "", "all peers failed recently; not trying again yet" };
        co_return std::nullopt;
    }
    int64_t waitMs = call.isWatch() ? deadline.remaining().count() : 0;
    std::string body = pack({ { "operation", static_cast<int>(call.operation) }, { "name", call.name }, { "value", call.value },
        { "version", call.version }, { "wait_ms", waitMs } });
    std::vector<Core::Address> peers = m_peers;
    std::shuffle(peers.begin(), peers.end(), Core::randomGenerator());
    if (m_preferredPeer)
        peers.insert(peers.begin(), *m_preferredPeer);
    for (size_t i = 0; i < peers.size() && i < m_settings.maxPeerAttempts; ++i) {
        Deadline peerDeadline = Deadline::after(std::chrono::milliseconds(waitMs + m_settings.peerTimeoutMs));
        if (!call.isWatch())
            peerDeadline = std::min(peerDeadline, deadline);
        std::optional<std::string> answer = co_await m_hooks.callPeer(peers[i], body, peerDeadline, reason);
        if (answer) {
            m_preferredPeer = peers[i];
            co_return answer;
        }
        m_preferredPeer = std::nullopt;
        // The peer may have executed the write.
        bool mayHaveTakenEffect = call.isWrite() && (reason.kind == FailureKind::TimedOut || reason.kind == FailureKind::OutcomeUnknown);
        if (mayHaveTakenEffect) {
            reason.kind = FailureKind::OutcomeUnknown;
            co_return std::nullopt;
        }
        if (deadline.hasPassed())
            break;
    }
    m_peerBackoffUntil = Deadline::after(std::chrono::milliseconds(m_settings.peerBackoffMs));
    reason.kind = FailureKind::Unavailable;
    co_return std::nullopt;
}

template <typename T>
static Core::Task<std::optional<T>> callDirect(const Platform::ObjectStore& store, std::string name, std::string value,
    Platform::Version version, Deadline deadline, Reason& reason);

template <>
Core::Task<std::optional<Platform::Object>> callDirect(const Platform::ObjectStore& store, std::string name, std::string, Platform::Version, Deadline deadline, Reason& reason)
{
    co_return co_await store.get(std::move(name), deadline, reason);
}

template <>
Core::Task<std::optional<Platform::Version>> callDirect(
    const Platform::ObjectStore& store, std::string name, std::string value, Platform::Version version, Deadline deadline, Reason& reason)
{
    co_return co_await store.put(std::move(name), std::move(value), version, deadline, reason);
}

template <>
Core::Task<std::optional<bool>> callDirect(const Platform::ObjectStore& store, std::string name, std::string, Platform::Version version, Deadline deadline, Reason& reason)
{
    bool isRemoved = co_await store.remove(std::move(name), version, deadline, reason);
    co_return isRemoved ? std::optional<bool>(true) : std::nullopt;
}

template <>
Core::Task<std::optional<Platform::Listing>> callDirect(const Platform::ObjectStore& store, std::string name, std::string, Platform::Version, Deadline deadline, Reason& reason)
{
    co_return co_await store.list(std::move(name), deadline, reason);
}

template <>
Core::Task<std::optional<Platform::Changes>> callDirect(const Platform::ObjectStore& store, std::string name, std::string, Platform::Version version, Deadline deadline, Reason& reason)
{
    co_return co_await store.watch(std::move(name), version, deadline, reason);
}

template <typename T>
Core::Task<std::optional<T>> PeerStore::run(Call call, Deadline deadline, Reason& reason)
{
    if (!m_isLost) {
        std::optional<T> result = co_await callDirect<T>(m_direct, call.name, call.value, call.version, deadline, reason);
        if (result || !isOutage(reason.kind)) {
            recordSuccess();
            co_return result;
        }
        recordFailure(reason);
        if ((call.isWrite() && reason.kind == FailureKind::OutcomeUnknown) || deadline.hasPassed())
            co_return std::nullopt;
    }
    std::optional<std::string> bytes = co_await askPeers(call, deadline, reason);
    if (!bytes)
        co_return std::nullopt;
    std::optional<json> answer = unpack(*bytes, reason);
    if (!answer) {
        reason.kind = call.isWrite() ? FailureKind::OutcomeUnknown : FailureKind::Unavailable;
        co_return std::nullopt;
    }
    try {
        if (answer->contains("kind")) {
            reason = { static_cast<FailureKind>(answer->at("kind").get<int>()), "ask peer for the store", m_preferredPeer ? m_preferredPeer->text() : "", answer->at("text").get<std::string>() };
            // Do not prefer a peer that has lost the store as well.
            if (isOutage(reason.kind))
                m_preferredPeer = std::nullopt;
            co_return std::nullopt;
        }
        T result {};
        readResult(answer->at("result"), result);
        co_return result;
    } catch (const json::exception& error) {
        reason = { call.isWrite() ? FailureKind::OutcomeUnknown : FailureKind::Unavailable, "ask peer for the store", "peer", error.what() };
        co_return std::nullopt;
    }
}

template <typename T>
static Core::Task<std::string> serveCall(const Platform::ObjectStore& store, const json& call, Deadline deadline)
{
    Reason reason;
    std::optional<T> result = co_await callDirect<T>(store, call.at("name").get<std::string>(), call.at("value").get<std::string>(),
        call.at("version").get<Platform::Version>(), deadline, reason);
    if (!result)
        co_return packReason(reason);
    co_return pack({ { "result", resultJson(*result) } });
}

Core::Task<std::optional<std::string>> PeerStore::serve(std::string body, Reason& reason)
{
    if (m_isLost) {
        reason = { FailureKind::Unavailable, "serve store call", "store", "this daemon cannot reach the store either" };
        co_return std::nullopt;
    }
    std::optional<json> call = unpack(body, reason);
    if (!call)
        co_return std::nullopt;
    try {
        int64_t waitMs = std::clamp<int64_t>(call->at("wait_ms").get<int64_t>(), 0, maxServiceMs);
        Deadline deadline = Deadline::after(std::chrono::milliseconds(waitMs > 0 ? waitMs : m_settings.peerTimeoutMs));
        switch (static_cast<Call::Operation>(call->at("operation").get<int>())) {
        case Call::Operation::Get:
            co_return co_await serveCall<Platform::Object>(m_direct, *call, deadline);
        case Call::Operation::Put:
            co_return co_await serveCall<Platform::Version>(m_direct, *call, deadline);
        case Call::Operation::Remove:
            co_return co_await serveCall<bool>(m_direct, *call, deadline);
        case Call::Operation::List:
            co_return co_await serveCall<Platform::Listing>(m_direct, *call, deadline);
        case Call::Operation::Watch:
            co_return co_await serveCall<Platform::Changes>(m_direct, *call, deadline);
        }
        reason = { FailureKind::Invalid, "serve store call", "peer", "unknown operation" };
    } catch (const json::exception& error) {
        reason = { FailureKind::Invalid, "serve store call", "peer", error.what() };
    }
    co_return std::nullopt;
}

Platform::ObjectStore PeerStore::hooks()
{
    using Operation = Call::Operation;
    Platform::ObjectStore store;
    store.get = [this](std::string name, Deadline deadline, Reason& reason) {
        return run<Platform::Object>({ Operation::Get, std::move(name), {}, 0 }, deadline, reason);
    };
    store.put = [this](std::string name, std::string value, Platform::Version expected, Deadline deadline, Reason& reason) {
        return run<Platform::Version>({ Operation::Put, std::move(name), std::move(value), expected }, deadline, reason);
    };
    store.remove = [this](std::string name, Platform::Version expected, Deadline deadline, Reason& reason) -> Core::Task<bool> {
        co_return (co_await run<bool>({ Operation::Remove, std::move(name), {}, expected }, deadline, reason)).has_value();
    };
    store.list = [this](std::string prefix, Deadline deadline, Reason& reason) {
        return run<Platform::Listing>({ Operation::List, std::move(prefix), {}, 0 }, deadline, reason);
    };
    store.watch = [this](std::string prefix, Platform::Version since, Deadline deadline, Reason& reason) {
        return run<Platform::Changes>({ Operation::Watch, std::move(prefix), {}, since }, deadline, reason);
    };
    return store;
}

}
