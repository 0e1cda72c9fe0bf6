#include "LibLedger/Commit.h"

#include "EntryCodec.h"
#include "LibLedger/Limits.h"

namespace Ledger {

using json = nlohmann::json;

static constexpr uint64_t commitFormat = 1;

std::string encodeCommit(const Commit& commit)
{
    return CBOR::serialise(json::array({ commitFormat, commit.sequence, commit.writer.host, commit.writer.incarnation, commit.nonce,
        commit.committedAtMs, commit.expireBeforeMs, toJSON(commit.entries) }));
}

std::optional<Commit> decodeCommit(const std::string& bytes)
{
    std::optional<json> value = CBOR::parse(bytes);
    if (!value)
        return std::nullopt;
    CBOR::FieldReader reader(*value);
    if (reader.unsignedNumber() != commitFormat)
        return std::nullopt;
    Commit commit;
    commit.sequence = reader.unsignedNumber();
    commit.writer = readHolder(reader);
    commit.nonce = reader.name(maximumNameBytes);
    commit.committedAtMs = reader.signedNumber();
    commit.expireBeforeMs = reader.signedNumber();
    std::optional<std::vector<Entry>> entries = entriesFromJSON(reader.array());
    if (!reader.finished() || !entries)
        return std::nullopt;
    commit.entries = std::move(*entries);
    return commit;
}

}
