#include "LibRelay/PeerDirectory.h"

#include "LibCore/Random.h"
#include <nlohmann/json.hpp>
#include <utility>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;
using nlohmann::json;

static constexpr std::chrono::milliseconds storeTimeout(1'000);
static constexpr std::chrono::milliseconds retryDelay(500);

PeerDirectory::PeerDirectory(const boost::asio::any_io_executor& executor, Platform::ObjectStore store, std::string host, PeerInfo self, Hooks hooks)
    : m_executor(executor)
    , m_store(std::move(store))
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

Core::Task<std::optional<Platform::Object>> PeerDirectory::readAnnouncement(Reason& reason)
{
    if (!std::exchange(m_isListingCurrent, false))
        co_return co_await m_store.get(nameOf(m_host), Deadline::after(storeTimeout), reason);
    if (!m_listedAnnouncement)
        reason = { FailureKind::NotFound, "read announcement", "store", "not in the listing" };
    co_return m_listedAnnouncement;
}

Core::Task<bool> PeerDirectory::announce(Reason& reason)
{
    std::string value = json { { "address", m_self.address.text() }, { "failure_domain", m_self.failureDomain }, { "capacity", m_self.capacity }, { "process", m_nonce } }.dump();
    std::optional<Platform::Object> object = co_await readAnnouncement(reason);
    if (!object && reason.kind != FailureKind::NotFound)
        co_return false;
    m_version = object ? object->version : 0;
    // An earlier write may have taken effect although its reply was lost.
    if (object && json::parse(object->value, nullptr, false) == json::parse(value)) {
        m_hooks.announced(m_version);
        co_return true;
    }
    std::optional<Platform::Version> version = co_await m_store.put(nameOf(m_host), value, m_version, Deadline::after(storeTimeout), reason);
    if (!version)
        co_return false;
    m_version = *version;
    m_hooks.announced(m_version);
    co_return true;
}

void PeerDirectory::put(const Platform::Object& object)
{
    json value = json::parse(object.value, nullptr, false);
    if (!value.is_object() || !value.contains("address") || !value["address"].is_string())
        return;
    Reason ignored;
    std::optional<Core::Address> address = Core::Address::parse(value["address"].get<std::string>(), ignored);
    if (!address || *address == m_self.address)
        return;
    PeerInfo peer { *address, "" };
    if (value.contains("failure_domain") && value["failure_domain"].is_string())
        peer.failureDomain = value["failure_domain"].get<std::string>();
    if (value.contains("capacity") && value["capacity"].is_number())
        peer.capacity = value["capacity"].get<double>();
    m_peers.insert_or_assign(object.name, std::move(peer));
}

void PeerDirectory::notifyChanged()
{
    std::vector<PeerInfo> peers;
    for (const auto& [name, peer] : m_peers)
        peers.push_back(peer);
    m_hooks.changed(std::move(peers));
}

void PeerDirectory::replaceAll(const std::vector<Platform::Object>& announcements)
{
    m_peers.clear();
    for (const Platform::Object& announcement : announcements)
        put(announcement);
    notifyChanged();
    if (std::exchange(m_isStarted, true))
        return;
    for (const Platform::Object& announcement : announcements) {
        if (announcement.name == nameOf(m_host))
            m_listedAnnouncement = announcement;
    }
    m_isListingCurrent = true;
    Core::spawn(m_executor, "announce", run());
}

void PeerDirectory::adopt(const Platform::Change& change)
{
    if (change.isDeleted)
        m_peers.erase(change.object.name);
    else
        put(change.object);
    notifyChanged();
}

Core::Task<void> PeerDirectory::run()
{
    while (!m_isStopping && !m_isAnnounced) {
        Reason reason;
        m_isAnnounced = co_await announce(reason);
        if (!m_isAnnounced)
            co_await Core::sleepUntil(Deadline::after(retryDelay));
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
