#include "LibRelay/WorkspaceLedger.h"

#include "LibCore/Cbor.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Relay {

using nlohmann::json;

static constexpr size_t maxMessageDepth = 2;

Tokens WorkspaceLedger::remaining() const
{
    Tokens granted = closed;
    for (const auto& [host, row] : rows)
        granted += row.granted;
    return budget - granted;
}

GrantState WorkspaceLedger::stateOf(const std::string& host, bool isApplied) const
{
    GrantState state;
    state.isApplied = isApplied;
    state.remaining = remaining();
    state.daemons = rows.size();
    for (const auto& [name, row] : rows)
        state.grantedToAll += row.granted;
    auto own = rows.find(host);
    if (own != rows.end()) {
        state.sequence = own->second.sequence;
        state.granted = own->second.granted;
    }
    return state;
}

GrantState WorkspaceLedger::apply(const GrantChange& change)
{
    if (change.configurationVersion > configurationVersion) {
        configurationVersion = change.configurationVersion;
        budget = change.budget;
    }
    LedgerRow& row = rows[change.host];
    if (row.incarnation > change.incarnation) {
        GrantState state = stateOf(change.host, false);
        state.isSuperseded = true;
        return state;
    }
    if (row.incarnation < change.incarnation) {
        closed += row.granted;
        row = { change.incarnation, 0, 0 };
    }
    if (change.sequence <= row.sequence)
        return stateOf(change.host, change.sequence == row.sequence);
    Tokens tokens = std::min(change.wanted, std::max<Tokens>(remaining(), 0));
    bool fits = change.wanted < 0 || (tokens > 0 && tokens >= change.least);
    if (!fits || change.sequence != row.sequence + 1)
        return stateOf(change.host, false);
    row.granted += tokens;
    row.sequence = change.sequence;
    return stateOf(change.host, true);
}

std::string encodeShard(const LedgerShard& shard)
{
    json workspaces = json::object();
    for (const auto& [workspace, ledger] : shard) {
        json rows = json::object();
        for (const auto& [host, row] : ledger.rows)
            rows[host] = json::array({ row.incarnation, row.sequence, row.granted });
        workspaces[workspace] = { { "configuration", ledger.configurationVersion }, { "budget", ledger.budget }, { "closed", ledger.closed }, { "rows", std::move(rows) } };
    }
    return workspaces.dump();
}

std::optional<LedgerShard> decodeShard(const std::string& text, Core::Reason& reason)
{
    try {
        LedgerShard shard;
        const json workspaces = json::parse(text);
        for (const auto& [workspace, object] : workspaces.items()) {
            WorkspaceLedger ledger;
            ledger.configurationVersion = object.at("configuration").get<uint64_t>();
            ledger.budget = object.at("budget").get<Tokens>();
            ledger.closed = object.at("closed").get<Tokens>();
            for (const auto& [host, row] : object.at("rows").items())
                ledger.rows[host] = { row.at(0).get<uint64_t>(), row.at(1).get<uint64_t>(), row.at(2).get<Tokens>() };
            shard.emplace(workspace, std::move(ledger));
        }
        return shard;
    } catch (const json::exception& error) {
        reason = { Core::FailureKind::Invalid, "decode ledger", "store", error.what() };
        return std::nullopt;
    }
}

static std::string pack(const json& message)
{
    std::vector<uint8_t> bytes = json::to_cbor(message);
    return std::string(bytes.begin(), bytes.end());
}

template <typename Build>
static auto unpack(const std::string& bytes, Core::Reason& reason, Build build) -> std::optional<decltype(build(json()))>
{
    try {
        if (Core::isPlainCbor(bytes, maxMessageDepth))
            return build(json::from_cbor(bytes));
        reason = { Core::FailureKind::Invalid, "decode grant message", "peer", "not plain CBOR" };
    } catch (const json::exception& error) {
        reason = { Core::FailureKind::Invalid, "decode grant message", "peer", error.what() };
    }
    return std::nullopt;
}

std::string encodeChange(const GrantChange& change)
{
    return pack({ { "workspace", change.workspace }, { "host", change.host }, { "incarnation", change.incarnation }, { "sequence", change.sequence },
        { "wanted", change.wanted }, { "least", change.least }, { "configuration", change.configurationVersion }, { "budget", change.budget } });
}

std::optional<GrantChange> decodeChange(const std::string& bytes, Core::Reason& reason)
{
    return unpack(bytes, reason, [](const json& message) {
        GrantChange change;
        change.workspace = message.at("workspace").get<std::string>();
        change.host = message.at("host").get<std::string>();
        change.incarnation = message.at("incarnation").get<uint64_t>();
        change.sequence = message.at("sequence").get<uint64_t>();
        change.wanted = message.at("wanted").get<Tokens>();
        change.least = message.at("least").get<Tokens>();
        change.configurationVersion = message.at("configuration").get<uint64_t>();
        change.budget = message.at("budget").get<Tokens>();
        return change;
    });
}

std::string encodeState(const GrantState& state)
{
    return pack({ { "applied", state.isApplied }, { "superseded", state.isSuperseded }, { "sequence", state.sequence }, { "granted", state.granted }, { "remaining", state.remaining },
        { "granted_to_all", state.grantedToAll }, { "daemons", state.daemons } });
}

std::optional<GrantState> decodeState(const std::string& bytes, Core::Reason& reason)
{
    return unpack(bytes, reason, [](const json& message) {
        GrantState state;
        state.isApplied = message.at("applied").get<bool>();
        state.isSuperseded = message.at("superseded").get<bool>();
        state.sequence = message.at("sequence").get<uint64_t>();
        state.granted = message.at("granted").get<Tokens>();
        state.remaining = message.at("remaining").get<Tokens>();
        state.grantedToAll = message.at("granted_to_all").get<Tokens>();
        state.daemons = message.at("daemons").get<uint64_t>();
        return state;
    });
}

}
