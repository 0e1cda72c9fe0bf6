#pragma once

#include "LibCore/Reason.h"
#include "LibMembership/GossipMessage.h"
#include <optional>
#include <string>
#include <string_view>

namespace Membership {

// Encodes gossip messages as CBOR. Empty fields are omitted.
struct GossipCodec {
    static std::string encode(const GossipMessage&);
    static std::optional<GossipMessage> decode(std::string_view bytes, Core::Reason&);
};

}
