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
// Daemons announce themselves again within this time after they have listed a restored store.
static constexpr std::chrono::milliseconds lostAnnouncementRetention(6'000);

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
    json announcement { { "address", m_self.address.text() }, { "failure_domain", m_self.failureDomain }, { "capacity", m_self.capacity }, { "process", m_nonce } };
    if (m_self.callerAddress)
        announcement["caller_address"] = m_self.callerAddress->text();
    std::string value = announcement.dump();
    std::optional<Platform::Object> object = co_await readAnnouncement(reason);
    if (!object && reason.kind != FailureKind::NotFound)
        co_return false;
    m_version = object ? object->version : 0;
    // An earlier write may have taken effect although its reply was lost.
    if (object && json::parse(object->value, nullptr, false) == json::parse(value))
        co_return true;
    std::optional<Platform::Version> version = co_await m_store.put(nameOf(m_host), value, m_version, Deadline::after(storeTimeout), reason);
    if (!version)
        co_return false;
    m_version = *version;
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
    if (value.contains("caller_address") && value["caller_address"].is_string())
        peer.callerAddress = Core::Address::parse(value["caller_address"].get<std::string>(), ignored);
    m_lost.erase(object.name);
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
    bool isRestored = std::exchange(m_isRestored, false);
    for (const auto& [name, peer] : m_peers) {
        if (isRestored)
            m_lost.insert(name);
    }
    std::erase_if(m_peers, [this](const auto& entry) { return !m_lost.contains(entry.first); });
    for (const Platform::Object& announcement : announcements)
        put(announcement);
    notifyChanged();
    if (isRestored && !m_lost.empty())
        Core::spawn(m_executor, "forget lost announcements", forgetLost());
    if (std::exchange(m_isStarted, true)) {
        if (isRestored)
            checkAnnouncement(announcements);
        return;
    }
    for (const Platform::Object& announcement : announcements) {
        if (announcement.name == nameOf(m_host))
            m_listedAnnouncement = announcement;
    }
    m_isListingCurrent = true;
    Core::spawn(m_executor, "announce", run());
}

std::set<std::string> PeerDirectory::hosts() const
{
    std::set<std::string> hosts;
    for (const auto& [name, peer] : m_peers)
        hosts.insert(name.substr(std::string_view(prefix).size()));
    return hosts;
}

void PeerDirectory::checkAnnouncement(const std::vector<Platform::Object>& announcements)
{
    if (m_isStopping)
        return;
    for (const Platform::Object& announcement : announcements) {
        json value = json::parse(announcement.value, nullptr, false);
        if (announcement.name == nameOf(m_host) && value.is_object() && value.value("process", json()) == m_nonce) {
            m_version = announcement.version;
            return;
        }
    }
    m_isAnnounced = false;
    if (!m_isAnnouncing)
        Core::spawn(m_executor, "announce", run());
}

Core::Task<void> PeerDirectory::forgetLost()
{
    co_await Core::sleepUntil(Deadline::after(lostAnnouncementRetention));
    for (const std::string& name : std::exchange(m_lost, {}))
        m_peers.erase(name);
    notifyChanged();
}

void PeerDirectory::adopt(const Platform::Change& change)
{
    m_lost.erase(change.object.name);
    if (change.isDeleted)
        m_peers.erase(change.object.name);
    else
        put(change.object);
    notifyChanged();
}

Core::Task<void> PeerDirectory::run()
{
    m_isAnnouncing = true;
    while (!m_isStopping && !m_isAnnounced) {
        Reason reason;
        m_isAnnounced = co_await announce(reason);
        if (!m_isAnnounced)
            co_await Core::sleepUntil(Deadline::after(retryDelay));
    }
    m_isAnnouncing = false;
    if (!m_isAnnounced)
        co_return;
    if (!std::exchange(m_hasIncarnation, true))
        m_hooks.announced(m_version);
    else if (m_hooks.announcedAgain)
        m_hooks.announcedAgain();
}

Core::Task<void> PeerDirectory::withdraw(Deadline deadline)
{
    stop();
    Reason ignored;
    if (m_isAnnounced)
        co_await m_store.remove(nameOf(m_host), m_version, deadline, ignored);
}

}
