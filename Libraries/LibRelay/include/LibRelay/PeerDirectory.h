#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/PeerTable.h"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Relay {

// Announces this daemon in the store and maintains the list of its peers from the announcements that a follower reports.
class PeerDirectory {
public:
    struct Hooks {
        // Called with the announcement's revision in the store, which increases with each process on a host.
        std::function<void(uint64_t)> announced;
        std::function<void(std::vector<PeerInfo>)> changed;
    };

    // The prefix of all announcements.
    static constexpr const char* prefix = "relay-daemons/";

    PeerDirectory(const boost::asio::any_io_executor&, Platform::ObjectStore, std::string host, PeerInfo self, Hooks);

    // The name of the object that announces a host.
    static std::string nameOf(const std::string& host);

    // Replaces all announcements. The first call starts this daemon's own announcement: of several daemons that start at the
    // same time, each would otherwise see no peers, act as allocator and conflict with all others when writing the ledgers.
    void replaceAll(const std::vector<Platform::Object>&);
    void adopt(const Platform::Change&);

    // Stops trying to announce this daemon.
    void stop() { m_isStopping = true; }

    // Removes the announcement.
    Core::Task<void> withdraw(Core::Deadline);

private:
    Core::Task<void> run();
    Core::Task<bool> announce(Core::Reason&);
    // This host's announcement; empty with a reason of kind NotFound if there is none.
    Core::Task<std::optional<Platform::Object>> readAnnouncement(Core::Reason&);
    void put(const Platform::Object&);
    void notifyChanged();

    boost::asio::any_io_executor m_executor;
    Platform::ObjectStore m_store;
    std::string m_host;
    PeerInfo m_self;
    Hooks m_hooks;
    std::map<std::string, PeerInfo> m_peers;
    // Distinguishes the announcements of two processes on one host.
    std::string m_nonce;
    Platform::Version m_version { 0 };
    // This host's announcement in the first listing. Saves reading it before the first attempt to replace it.
    std::optional<Platform::Object> m_listedAnnouncement;
    bool m_isListingCurrent { false };
    bool m_isStarted { false };
    bool m_isAnnounced { false };
    bool m_isStopping { false };
};

}
