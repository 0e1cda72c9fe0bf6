#include "CheckpointCodec.h"

#include "CBOR.h"

namespace Ledger {

std::string encodeCheckpoint(uint64_t sequence, const ShardState& state)
{
    return CBOR::serialise(nlohmann::json::array({ sequence, CBOR::byteString(state.encode()) }));
}

std::optional<Checkpoint> decodeCheckpoint(const std::string& bytes)
{
    std::optional<nlohmann::json> value = CBOR::parse(bytes);
    if (!value)
        return std::nullopt;
    CBOR::FieldReader reader(*value);
    uint64_t sequence = reader.unsignedNumber();
    std::optional<ShardState> state = ShardState::decode(reader.bytes());
    if (!reader.finished() || !state)
        return std::nullopt;
    return Checkpoint { sequence, std::move(*state) };
}

}
