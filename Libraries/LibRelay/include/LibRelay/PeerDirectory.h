#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include <functional>
#include <vector>

namespace Relay {

// Announces this daemon in the store and learns the addresses of the others from it.
class PeerDirectory {
public:
    struct Hooks {
        // The announcement's revision in the store, higher for each later process on a host.
        std::function<void(uint64_t)> announced;
        std::function<void(std::vector<Core::Address>)> changed;
    };

    PeerDirectory(Platform::ObjectStore, std::string host, Core::Address self, Hooks);

    // The name of the object that announces a host.
    static std::string nameOf(const std::string& host);

    // Announces and looks for others until stop().
    Core::Task<void> run();
    void stop() { m_isStopping = true; }

    // Removes the announcement.
    Core::Task<void> withdraw(Core::Deadline);

private:
    Core::Task<bool> announce(Core::Reason&);
    Core::Task<bool> look(Core::Reason&);

    Platform::ObjectStore m_store;
    std::string m_host;
    Core::Address m_self;
    Hooks m_hooks;
    // Makes the announcements of two processes on one host differ.
    std::string m_nonce;
    Platform::Version m_version { 0 };
    bool m_isAnnounced { false };
    bool m_isStopping { false };
};

}
