#pragma once

#include "LibPeer/Network.h"
#include <variant>

namespace Peer {

// The first frame in each direction.
struct Hello {
    uint64_t version { 0 };
    Identity identity;
    std::string nonce;
    // HMAC-SHA256 over both hellos; only in the acceptor's hello, since the opener has seen no nonce yet.
    std::string proof;
    bool operator==(const Hello&) const = default;
};

// The opener's HMAC-SHA256 over both hellos.
struct Proof {
    std::string proof;
    bool operator==(const Proof&) const = default;
};

// Tells the other end why the link is closed during the handshake.
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

// Version of the link protocol. A peer with another version is refused.
constexpr uint64_t protocolVersion = 1;

constexpr size_t maxFrameBytes = 4 * 1024 * 1024;

// Keeps the deadline of a call within the range of the clock.
constexpr int64_t maxCallMs = 24LL * 3600 * 1000;

std::string encodeFrame(const Frame&);

// Returns nullopt with a message on bytes that are not a valid frame; never throws.
std::optional<Frame> decodeFrame(const std::string& bytes, std::string& message);

}
