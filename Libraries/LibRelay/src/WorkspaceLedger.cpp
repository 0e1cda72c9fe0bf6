#include "LibRelay/WorkspaceLedger.h"

#include "PeerMessage.h"
#include <algorithm>

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

std::string encodeTransfer(const TransferRequest& request)
{
    return packMessage({ { "workspace", request.workspace }, { "host", request.host }, { "incarnation", request.incarnation }, { "sequence", request.sequence },
        { "wanted", request.wanted }, { "least", request.least } });
}

std::optional<TransferRequest> decodeTransfer(const std::string& bytes, Core::Reason& reason)
{
    return unpackMessage(bytes, maxMessageDepth, "decode grant message", reason, [](const json& message) {
        TransferRequest request;
        request.workspace = message.at("workspace").get<std::string>();
        request.host = message.at("host").get<std::string>();
        request.incarnation = message.at("incarnation").get<uint64_t>();
        request.sequence = message.at("sequence").get<uint64_t>();
        request.wanted = message.at("wanted").get<Tokens>();
        request.least = message.at("least").get<Tokens>();
        return request;
    });
}

std::string encodeReply(const TransferReply& reply)
{
    return packMessage({ { "tokens", reply.tokens }, { "remaining", reply.remaining }, { "granted_to_all", reply.grantedToAll } });
}

std::optional<TransferReply> decodeReply(const std::string& bytes, Core::Reason& reason)
{
    return unpackMessage(bytes, maxMessageDepth, "decode grant message", reason, [](const json& message) {
        TransferReply reply;
        reply.tokens = message.at("tokens").get<Tokens>();
        reply.remaining = message.at("remaining").get<Tokens>();
        reply.grantedToAll = message.at("granted_to_all").get<Tokens>();
        return reply;
    });
}

}
