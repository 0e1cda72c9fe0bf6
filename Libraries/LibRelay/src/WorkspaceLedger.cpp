#include "LibRelay/WorkspaceLedger.h"

#include "PeerMessage.h"
#include <algorithm>
#include <tuple>

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

void WorkspaceLedger::merge(const WorkspaceLedger& other)
{
    if (other.configurationVersion > configurationVersion) {
        configurationVersion = other.configurationVersion;
        budget = other.budget;
    }
    // Each copy has closed the rows that it knows to be superseded; the grants of the others are closed here.
    Tokens otherClosed = other.closed;
    for (const auto& [host, row] : rows) {
        auto known = other.rows.find(host);
        if (known != other.rows.end() && known->second.incarnation < row.incarnation)
            otherClosed += known->second.granted;
    }
    for (const auto& [host, row] : other.rows) {
        LedgerRow& merged = rows[host];
        if (merged.incarnation < row.incarnation)
            closed += merged.granted;
        if (std::tie(merged.incarnation, merged.sequence) < std::tie(row.incarnation, row.sequence))
            merged = row;
    }
    closed = std::max(closed, otherClosed);
}

void LedgerShard::merge(const LedgerShard& other)
{
    for (const auto& [workspace, ledger] : other.workspaces)
        workspaces[workspace].merge(ledger);
}

bool LedgerShard::isConfirmedBy(const std::set<std::string>& hosts) const
{
    return std::all_of(hosts.begin(), hosts.end(), [this](const std::string& host) { return confirmed.contains(host); });
}

bool LedgerShard::finishRebuilding(uint64_t storeEra, const std::set<std::string>& hosts)
{
    bool isUncertain = std::any_of(hosts.begin(), hosts.end(), [this](const std::string& host) {
        auto it = confirmed.find(host);
        return it == confirmed.end() || !it->second;
    });
    for (auto& [name, ledger] : workspaces) {
        if (isUncertain)
            ledger.closed += std::max<Tokens>(ledger.remaining(), 0);
    }
    confirmed.clear();
    era = storeEra;
    return isUncertain;
}

std::string encodeShard(const LedgerShard& shard)
{
    json workspaces = json::object();
    for (const auto& [workspace, ledger] : shard.workspaces) {
        json rows = json::object();
        for (const auto& [host, row] : ledger.rows)
            rows[host] = json::array({ row.incarnation, row.sequence, row.granted });
        workspaces[workspace] = { { "configuration", ledger.configurationVersion }, { "budget", ledger.budget }, { "closed", ledger.closed }, { "rows", std::move(rows) } };
    }
    return json { { "era", shard.era }, { "confirmed", shard.confirmed }, { "workspaces", std::move(workspaces) } }.dump();
}

std::optional<LedgerShard> decodeShard(const std::string& text, Core::Reason& reason)
{
    try {
        LedgerShard shard;
        const json document = json::parse(text);
        // Shards without an era were written before there were any.
        bool hasEra = document.contains("era") && document.at("era").is_number_unsigned() && document.contains("workspaces");
        if (hasEra) {
            shard.era = document.at("era").get<uint64_t>();
            shard.confirmed = document.at("confirmed").get<std::map<std::string, bool>>();
        }
        const json& workspaces = hasEra ? document.at("workspaces") : document;
        for (const auto& [workspace, object] : workspaces.items()) {
            WorkspaceLedger ledger;
            ledger.configurationVersion = object.at("configuration").get<uint64_t>();
            ledger.budget = object.at("budget").get<Tokens>();
            ledger.closed = object.at("closed").get<Tokens>();
            for (const auto& [host, row] : object.at("rows").items())
                ledger.rows[host] = { row.at(0).get<uint64_t>(), row.at(1).get<uint64_t>(), row.at(2).get<Tokens>() };
            shard.workspaces.emplace(workspace, std::move(ledger));
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
