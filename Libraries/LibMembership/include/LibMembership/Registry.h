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

// Stores the members in the objects daemon/<host> on the platform. A daemon writes its object when it starts, drains or
// leaves.
class Registry {
public:
    // Returns microseconds since the Unix epoch.
    using WallClock = std::function<uint64_t()>;
    explicit Registry(Platform::ObjectStore, WallClock = systemMicroseconds);

    // Assigns an incarnation greater than the one registered for the host and writes the object. Returns the member
    // with its incarnation. Fails with Refused if the gossip hash of the host collides with that of another host.
    Core::Task<std::optional<Member>> registerDaemon(Member, Core::Deadline, Core::Reason&);

    // Writes the changed state of a registered daemon. Fails with Conflict if a newer incarnation is registered.
    Core::Task<bool> update(Member, Core::Deadline, Core::Reason&);

    Core::Task<std::optional<std::vector<Member>>> list(Core::Deadline, Core::Reason&);

    static uint64_t systemMicroseconds();

private:
    Core::Task<bool> write(Member, Platform::Version expected, Core::Deadline, Core::Reason&);

    Platform::ObjectStore m_store;
    WallClock m_wallClock;
};

// Encodes a member as JSON, which is the value of its platform object.
std::string encodeMember(const Member&);
std::optional<Member> decodeMember(const std::string& value, Core::Reason&);

}
