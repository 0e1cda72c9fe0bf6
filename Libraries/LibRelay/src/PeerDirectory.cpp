#include "LibRelay/PeerDirectory.h"

#include "LibCore/Random.h"
#include <nlohmann/json.hpp>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;
using nlohmann::json;

static constexpr const char* prefix = "relay-daemons/";
static constexpr std::chrono::milliseconds callTimeout(1'000);
static constexpr std::chrono::milliseconds retryPause(500);
// Hosts come and go a few times an hour; a call through a peer that is gone is repeated at another.
static constexpr std::chrono::milliseconds lookPause(6'000);
// The others announce themselves at about the same time as this daemon.
static constexpr std::chrono::milliseconds firstLookPause(2'000);

PeerDirectory::PeerDirectory(Platform::ObjectStore store, std::string host, Core::Address self, Hooks hooks)
    : m_store(std::move(store))
    , m_host(std::move(host))
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_nonce(Core::randomIdentifier())
{
}

std::string PeerDirectory::nameOf(const std::string& host)
{
    return prefix + host;
}

Core::Task<bool> PeerDirectory::announce(Reason& reason)
{
    std::string value = json { { "address", m_self.text() }, { "process", m_nonce } }.dump();
    std::optional<Platform::Object> object = co_await m_store.get(nameOf(m_host), Deadline::after(callTimeout), reason);
    if (!object && reason.kind != FailureKind::NotFound)
        co_return false;
    m_version = object ? object->version : 0;
    // The write of an earlier try may have taken effect without an answer.
    if (object && json::parse(object->value, nullptr, false) == json::parse(value)) {
        m_hooks.announced(m_version);
        co_return true;
    }
    std::optional<Platform::Version> version = co_await m_store.put(nameOf(m_host), value, m_version, Deadline::after(callTimeout), reason);
    if (!version)
        co_return false;
    m_version = *version;
    m_hooks.announced(m_version);
    co_return true;
}

Core::Task<bool> PeerDirectory::look(Reason& reason)
{
    std::optional<Platform::Listing> listing = co_await m_store.list(prefix, Deadline::after(callTimeout), reason);
    if (!listing)
        co_return false;
    std::vector<Core::Address> peers;
    for (const Platform::Object& object : listing->objects) {
        json value = json::parse(object.value, nullptr, false);
        if (!value.is_object() || !value.contains("address") || !value["address"].is_string())
            continue;
        Reason ignored;
        std::optional<Core::Address> address = Core::Address::parse(value["address"].get<std::string>(), ignored);
        if (address && *address != m_self)
            peers.push_back(*address);
    }
    m_hooks.changed(std::move(peers));
    co_return true;
}

Core::Task<void> PeerDirectory::run()
{
    // The entries of the processes before are at hand when all hosts start again at once: without them each daemon would
    // take itself for the only one and write the ledgers against all others.
    Reason ignored;
    co_await look(ignored);
    while (!m_isStopping) {
        Reason reason;
        bool isDone = m_isAnnounced ? co_await look(reason) : co_await announce(reason);
        std::chrono::milliseconds next = isDone ? (m_isAnnounced ? lookPause : firstLookPause) : retryPause;
        m_isAnnounced = m_isAnnounced || isDone;
        co_await Core::sleepUntil(Deadline::after(next));
    }
}

Core::Task<void> PeerDirectory::withdraw(Deadline deadline)
{
    stop();
    Reason ignored;
    if (m_isAnnounced)
        co_await m_store.remove(nameOf(m_host), m_version, deadline, ignored);
}

}
