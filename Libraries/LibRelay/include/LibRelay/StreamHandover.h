#pragma once

#include "LibCore/Reason.h"
#include "LibRelay/StreamOrigin.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

// A stream that another daemon is to record.
struct HandedStream {
    uint64_t key { 0 };
    StreamOrigin origin;
    // How long it may still be taken up.
    std::chrono::milliseconds left { 0 };
    bool operator==(const HandedStream&) const = default;
};

// The message with which a daemon hands streams to the one that writes for several.
struct StreamHandover {
    std::vector<HandedStream> streams;
    // A caller has lost its connection and may take its stream up at once.
    bool isUrgent { false };
    bool operator==(const StreamHandover&) const = default;
};

// Messages are encoded as CBOR. Decoding a malformed one fails with a reason of kind Invalid.
std::string encodeHandover(const StreamHandover&);
std::optional<StreamHandover> decodeHandover(const std::string& bytes, Core::Reason&);

}
