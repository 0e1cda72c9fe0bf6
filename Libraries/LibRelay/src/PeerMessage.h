#pragma once

#include "LibCore/Cbor.h"
#include "LibCore/Reason.h"
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Relay {

// Encodes a message to another daemon.
inline std::string packMessage(const nlohmann::json& message)
{
    std::vector<uint8_t> bytes = nlohmann::json::to_cbor(message);
    return std::string(bytes.begin(), bytes.end());
}

// Decodes a message of another daemon with the function. Fails with a reason of kind Invalid if it is malformed.
template <typename Build>
auto unpackMessage(const std::string& bytes, size_t maxDepth, const char* step, Core::Reason& reason, Build build) -> std::optional<decltype(build(nlohmann::json()))>
{
    try {
        if (Core::isPlainCbor(bytes, maxDepth))
            return build(nlohmann::json::from_cbor(bytes));
        reason = { Core::FailureKind::Invalid, step, "peer", "not plain CBOR" };
    } catch (const nlohmann::json::exception& error) {
        reason = { Core::FailureKind::Invalid, step, "peer", error.what() };
    }
    return std::nullopt;
}

}
