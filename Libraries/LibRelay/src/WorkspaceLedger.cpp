#include "LibRelay/WorkspaceLedger.h"

#include "LibCore/Saturating.h"
#include "PeerMessage.h"
#include <algorithm>
#include <limits>
#include <tuple>

namespace Relay {

using nlohmann::json;

static constexpr size_t maxMessageDepth = 2;

// Throws nlohmann::json::type_error if the value is no integer that fits, which a plain conversion would change.
static Tokens tokensFrom(const json& value)
{
    bool isTooLarge = value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<Tokens>::max());
    if (!value.is_number_integer() || isTooLarge)
        throw json::type_error::create(302, "expected a number of tokens, got " + value.dump(), &value);
    return value.get<Tokens>();
}

Tokens WorkspaceLedger::remaining() const
{
    Tokens granted = closed;
    for (const auto& [host, row] : rows)
        granted = Core::saturatingAdd(granted, row.granted);
    return Core::saturatingSubtract(budget, granted);
}

GrantState WorkspaceLedger::stateOf(const std::string& host, bool isApplied) const
{
    GrantState state;
    state.isApplied = isApplied;
    state.remaining = remaining();
    for (const auto& [name, row] : rows)
        state.grantedToAll = Core::saturatingAdd(state.grantedToAll, row.granted);
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
        closed = Core::saturatingAdd(closed, row.granted);
        row = { change.incarnation, 0, 0 };
    }
    if (change.sequence <= row.sequence)
        return stateOf(change.host, change.sequence == row.sequence);
    Tokens tokens = std::min(change.wanted, std::max<Tokens>(remaining(), 0));
    bool fits = change.wanted < 0 || (tokens > 0 && tokens >= change.least);
    if (!fits || change.sequence != row.sequence + 1)
        return stateOf(change.host, false);
    row.granted = Core::saturatingAdd(row.granted, tokens);
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
            otherClosed = Core::saturatingAdd(otherClosed, known->second.granted);
    }
    for (const auto& [host, row] : other.rows) {
        LedgerRow& merged = rows[host];
        if (merged.incarnation < row.incarnation)
            closed = Core::saturatingAdd(closed, merged.granted);
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
            ledger.closed = Core::saturatingAdd(ledger.closed, std::max<Tokens>(ledger.remaining(), 0));
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
            ledger.budget = tokensFrom(object.at("budget"));
            ledger.closed = tokensFrom(object.at("closed"));
            for (const auto& [host, row] : object.at("rows").items())
                ledger.rows[host] = { row.at(0).get<uint64_t>(), row.at(1).get<uint64_t>(), tokensFrom(row.at(2)) };
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
        request.wanted = tokensFrom(message.at("wanted"));
        request.least = tokensFrom(message.at("least"));
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
        reply.tokens = tokensFrom(message.at("tokens"));
        reply.remaining = tokensFrom(message.at("remaining"));
        reply.grantedToAll = tokensFrom(message.at("granted_to_all"));
        return reply;
    });
}

}
