#pragma once

#include "LibCore/Deadline.h"
#include "LibCore/Reason.h"
#include <cstdint>
#include <random>
#include <set>
#include <string>

namespace Emulator {

// Fault switches of the platform emulator.
class PlatformFaults {
public:
    // Sets the switches named in the JSON object and keeps the others. Fails with Invalid on an unknown name, a wrong type
    // or a value out of range, and then changes nothing.
    bool apply(const std::string& json, Core::Reason&);

    bool isOutageActive() const { return !m_outageEnd.hasPassed(); }
    std::chrono::milliseconds delay() const { return m_delay; }
    bool isBlocked(const std::string& client) const { return m_blockedClients.contains(client); }

    // Returns whether the reply to a write that has just taken effect must be dropped, and uses up one of lose_replies.
    bool consumeLostReply();

private:
    Core::Deadline m_outageEnd { Core::SteadyClock::time_point::min() };
    std::chrono::milliseconds m_delay { 0 };
    uint64_t m_loseReplies { 0 };
    double m_loseReplyProbability { 0 };
    std::set<std::string> m_blockedClients;
    std::mt19937_64 m_generator { 1 };
};

}
