#pragma once

namespace Relay {

// Optional behaviour that a deployment asks for in its settings.
struct Features {
    // Requests are sent with an urgency, and engines are chosen by the predicted time to the first event.
    bool predictsEngineLoad { false };
    bool operator==(const Features&) const = default;
};

}
