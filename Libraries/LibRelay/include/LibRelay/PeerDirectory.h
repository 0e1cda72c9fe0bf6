#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/PeerTable.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Relay {

// Announces this daemon in the store and maintains the list of its peers from the announcements that a follower reports.
class PeerDirectory {
public:
    struct Hooks {
        // Called with the version of this process's first announcement in the store, which increases with each process on a host.
        std::function<void(uint64_t)> announced;
        std::function<void(std::vector<PeerInfo>)> changed;
        // Called when a lost announcement was written again. May be unset.
        std::function<void()> announcedAgain {};
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

    // The store was restored from an older copy; the next listing is of the restored store. Announcements that it has lost are kept
    // until their daemons have had time to make them again, and so is this daemon's own.
    void storeRestored() { m_isRestored = true; }

    // The announced hosts, without this one.
    std::set<std::string> hosts() const;

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
    // After a restoration: announces this daemon again if the store has lost its announcement.
    void checkAnnouncement(const std::vector<Platform::Object>&);
    Core::Task<void> forgetLost();

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
    bool m_isAnnouncing { false };
    // `announced` was called.
    bool m_hasIncarnation { false };
    bool m_isRestored { false };
    // Peers whose announcements the restored store has lost.
    std::set<std::string> m_lost;
    bool m_isStopping { false };
};

}
