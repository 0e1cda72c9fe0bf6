#pragma once

#include "LibCore/Async.h"
#include "LibCore/Deadline.h"
#include "LibMembership/Member.h"
#include "LibPlatform/ObjectStore.h"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

// The objects daemon/<host> on the platform, written at start and when a daemon drains or leaves.
class Registry {
public:
    // Wall-clock microseconds since 1970.
    using WallClock = std::function<uint64_t()>;
    explicit Registry(Platform::ObjectStore, WallClock = systemMicroseconds);

    // Chooses the incarnation, above the one registered for the host, and writes the object. Returns the member with its
    // incarnation. Refused: another host has the same number in gossip.
    Core::Task<std::optional<Member>> registerDaemon(Member, Core::Deadline, Core::Reason&);

    // Writes a changed state of the registered daemon. Conflict: a newer incarnation has registered.
    Core::Task<bool> update(Member, Core::Deadline, Core::Reason&);

    Core::Task<std::optional<std::vector<Member>>> list(Core::Deadline, Core::Reason&);

    static uint64_t systemMicroseconds();

private:
    Core::Task<bool> write(Member, Platform::Version expected, Core::Deadline, Core::Reason&);

    Platform::ObjectStore m_store;
    WallClock m_wallClock;
};

// A member as JSON, the value of its platform object.
std::string encodeMember(const Member&);
std::optional<Member> decodeMember(const std::string& value, Core::Reason&);

}
