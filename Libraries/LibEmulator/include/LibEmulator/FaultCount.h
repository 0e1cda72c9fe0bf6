#pragma once

#include <cstdint>

namespace Emulator {

// Number of upcoming operations that a fault affects; a negative number affects all.
struct FaultCount {
    int64_t remaining { 0 };

    // Counts one operation; returns whether the fault affects it.
    bool consume()
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
