#pragma once

#include "LibCore/Deadline.h"
#include "LibCore/Reason.h"
#include <cstdint>
#include <random>
#include <set>
#include <string>

namespace Emulator {

// The fault switches of the platform emulator.
class PlatformFaults {
public:
    // Applies the switches that the JSON object names and leaves the others as they are. On failure (Invalid: unknown
    // name, wrong type or range) nothing is changed.
    bool apply(const std::string& json, Core::Reason&);

    bool isOut() const { return !m_outageEnd.hasPassed(); }
    std::chrono::milliseconds delay() const { return m_delay; }
    bool isBlocked(const std::string& client) const { return m_blockedClients.contains(client); }

    // True when the reply of a write that has just taken effect is to be lost.
    bool takeLostReply();

private:
    Core::Deadline m_outageEnd { Core::SteadyClock::time_point::min() };
    std::chrono::milliseconds m_delay { 0 };
    uint64_t m_loseReplies { 0 };
    double m_loseReplyProbability { 0 };
    std::set<std::string> m_blockedClients;
    std::mt19937_64 m_generator { 1 };
};

}
