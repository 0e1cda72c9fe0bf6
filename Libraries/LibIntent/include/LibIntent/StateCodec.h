#pragma once

#include "LibCore/Reason.h"
#include "LibIntent/FleetState.h"
#include <optional>
#include <string>
#include <string_view>

namespace Intent {

// A whole state as CBOR, for a peer that starts. YAML would take minutes at the design size.
struct StateCodec {
    static std::string encode(const FleetState&);
    static std::optional<FleetState> decode(std::string_view bytes, Core::Reason&);
};

}
