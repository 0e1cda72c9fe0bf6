#pragma once

#include "LibCore/Deadline.h"
#include "LibPlatform/HostList.h"
#include <deque>

namespace Emulator {

// A host list whose updates become visible after a fixed lag.
class DelayedHostList {
public:
    DelayedHostList(std::vector<Platform::HostRecord> initial, std::chrono::milliseconds lag);

    void set(std::vector<Platform::HostRecord>, Core::SteadyClock::time_point now);
    const std::vector<Platform::HostRecord>& visible(Core::SteadyClock::time_point now);

private:
    struct Pending {
        Core::Deadline visibleAt;
        std::vector<Platform::HostRecord> hosts;
    };

    std::vector<Platform::HostRecord> m_visible;
    std::chrono::milliseconds m_lag;
    std::deque<Pending> m_pending;
};

}
