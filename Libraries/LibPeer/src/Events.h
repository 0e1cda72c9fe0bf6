#pragma once

#include "LibCore/EventLog.h"

namespace Peer {

// Log events of links between daemons.
constexpr Core::Event linkRefused { 1601, Core::Severity::Warning, "link_refused" };
constexpr Core::Event malformedFrame { 1602, Core::Severity::Warning, "malformed_frame" };
constexpr Core::Event linkClosed { 1603, Core::Severity::Debug, "link_closed" };
constexpr Core::Event handlerFailed { 1604, Core::Severity::Error, "peer_handler_failed" };
constexpr Core::Event lateAnswer { 1605, Core::Severity::Debug, "late_answer" };
constexpr Core::Event peerNotReading { 1606, Core::Severity::Warning, "peer_not_reading" };

}
