#pragma once

#include "LibCore/EventLog.h"

namespace Peer {

// Numbered events of links between daemons.
constexpr Core::Event linkRefused { 1301, Core::Severity::Warning, "link_refused" };
constexpr Core::Event malformedFrame { 1302, Core::Severity::Warning, "malformed_frame" };
constexpr Core::Event linkClosed { 1303, Core::Severity::Debug, "link_closed" };
constexpr Core::Event handlerFailed { 1304, Core::Severity::Error, "peer_handler_failed" };
constexpr Core::Event lateAnswer { 1305, Core::Severity::Debug, "late_answer" };
constexpr Core::Event peerNotReading { 1306, Core::Severity::Warning, "peer_not_reading" };

}
