#pragma once

#include <cstdint>

namespace Emulator {

// How many of the next operations a fault hits; negative: all.
struct FaultCount {
    int64_t remaining { 0 };

    // Whether the fault hits this operation.
    bool take()
    {
        if (remaining > 0) {
            --remaining;
            return true;
        }
        return remaining < 0;
    }

    bool operator==(const FaultCount&) const = default;
};

}
