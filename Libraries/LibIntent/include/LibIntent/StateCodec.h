#pragma once

#include "LibCore/Reason.h"
#include "LibIntent/FleetState.h"
#include <optional>
#include <string>
#include <string_view>

namespace Intent {

// Encodes a complete state as CBOR, to be transferred to a starting peer. YAML would take minutes at the design size.
struct StateCodec {
    static std::string encode(const FleetState&);
    static std::optional<FleetState> decode(std::string_view bytes, Core::Reason&);
};

}
