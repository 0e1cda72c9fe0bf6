#pragma once

namespace Relay {

// Optional behaviour that a deployment asks for in its settings.
struct Features {
    // The daemon refuses what its host cannot carry.
    bool limitsHostLoad { false };
    // Requests are sent with an urgency, and engines are chosen by the predicted time to the first event.
    bool predictsEngineLoad { false };
    bool operator==(const Features&) const = default;
};

}
