#pragma once

#include "LibPeer/Network.h"
#include <variant>

namespace Peer {

// The first frame in each direction of a link.
struct Hello {
    uint64_t version { 0 };
    Identity identity;
    std::string nonce;
    // HMAC-SHA256 over both hellos. Empty in the opener's hello, which is sent before the acceptor's nonce is known.
    std::string proof;
    bool operator==(const Hello&) const = default;
};

// Completes the handshake with the opener's HMAC-SHA256 over both hellos.
struct Proof {
    std::string proof;
    bool operator==(const Proof&) const = default;
};

// Sent before a link is closed during the handshake, with the cause.
struct Refusal {
    std::string message;
    bool operator==(const Refusal&) const = default;
};

struct Call {
    uint64_t id { 0 };
    std::string type;
    std::string body;
    int64_t remainingMs { 0 };
    bool operator==(const Call&) const = default;
};

struct Notice {
    std::string type;
    std::string body;
    bool operator==(const Notice&) const = default;
};

struct Answer {
    uint64_t id { 0 };
    std::string body;
    bool operator==(const Answer&) const = default;
};

// The answer to a call whose handler failed.
struct Failure {
    uint64_t id { 0 };
    std::string message;
    bool operator==(const Failure&) const = default;
};

using Frame = std::variant<Hello, Proof, Refusal, Call, Notice, Answer, Failure>;

// Version of the link protocol. Links to peers with another version are refused.
constexpr uint64_t protocolVersion = 1;

constexpr size_t maxFrameBytes = 4 * 1024 * 1024;

// Upper bound of the timeout of a received call. Prevents overflow when the deadline is computed.
constexpr int64_t maxCallMs = 24LL * 3600 * 1000;

std::string encodeFrame(const Frame&);

// Returns nullopt and sets the message if the bytes are not a valid frame. Does not throw.
std::optional<Frame> decodeFrame(const std::string& bytes, std::string& message);

}
