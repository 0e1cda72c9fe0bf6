#include "LibRelay/SharedWatch.h"

#include "LibPlatform/ObjectCodec.h"
#include "PeerMessage.h"

namespace Relay {

using nlohmann::json;

static constexpr size_t maxMessageDepth = 2;

static std::nullopt_t malformed(const char* step, const std::string& what, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, step, "peer", what };
    return std::nullopt;
}

std::string encodeWatchRequest(const WatchRequest& request)
{
    return packMessage({ { "prefix", request.prefix }, { "since", request.since }, { "wait_ms", request.wait.count() } });
}

std::optional<WatchRequest> decodeWatchRequest(const std::string& bytes, Core::Reason& reason)
{
    static constexpr const char* step = "decode watch request";
    if (!Core::isPlainCbor(bytes, maxMessageDepth))
        return malformed(step, "not plain CBOR", reason);
    try {
        const json message = json::from_cbor(bytes);
        WatchRequest request;
        request.prefix = message.at("prefix").get<std::string>();
        request.since = message.at("since").get<Platform::Version>();
        request.wait = std::chrono::milliseconds(message.at("wait_ms").get<int64_t>());
        return request;
    } catch (const json::exception& error) {
        return malformed(step, error.what(), reason);
    }
}

std::string encodeWatchReply(const WatchReply& reply)
{
    std::string objects = Platform::encodeListing({ reply.changes.revision, reply.changes.changed });
    return packMessage({ { "objects", json::binary(std::vector<uint8_t>(objects.begin(), objects.end())) }, { "deleted", reply.changes.deleted },
        { "age_ms", reply.age.count() }, { "held_ms", reply.held.count() } });
}

std::optional<WatchReply> decodeWatchReply(const std::string& bytes, Core::Reason& reason)
{
    static constexpr const char* step = "decode watch reply";
    if (!Core::isPlainCbor(bytes, maxMessageDepth))
        return malformed(step, "not plain CBOR", reason);
    try {
        const json message = json::from_cbor(bytes);
        const json::binary_t& objects = message.at("objects").get_binary();
        std::optional<Platform::Listing> listing = Platform::decodeListing(std::string(objects.begin(), objects.end()), reason);
        if (!listing)
            return std::nullopt;
        WatchReply reply;
        reply.changes = { listing->revision, std::move(listing->objects), message.at("deleted").get<std::vector<std::string>>() };
        reply.age = std::chrono::milliseconds(message.at("age_ms").get<int64_t>());
        reply.held = std::chrono::milliseconds(message.at("held_ms").get<int64_t>());
        if (reply.age.count() < 0 || reply.held.count() < 0)
            return malformed(step, "negative duration", reason);
        return reply;
    } catch (const json::exception& error) {
        return malformed(step, error.what(), reason);
    }
}

}
