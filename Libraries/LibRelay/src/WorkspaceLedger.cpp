#include "LibRelay/WorkspaceLedger.h"

#include <nlohmann/json.hpp>

namespace Relay {

using nlohmann::json;

Tokens WorkspaceLedger::remaining() const
{
    Tokens granted = closed;
    for (const auto& [host, row] : rows)
        granted += row.granted;
    return budget - granted;
}

LedgerRow& WorkspaceLedger::rowOf(const std::string& host, const std::string& incarnation)
{
    LedgerRow& row = rows[host];
    if (row.incarnation != incarnation) {
        closed += row.granted;
        row = { incarnation, 0, 0 };
    }
    return row;
}

const LedgerRow* WorkspaceLedger::findRow(const std::string& host, const std::string& incarnation) const
{
    auto it = rows.find(host);
    return it == rows.end() || it->second.incarnation != incarnation ? nullptr : &it->second;
}

void WorkspaceLedger::adoptBudget(uint64_t version, Tokens tokens)
{
    if (version <= configurationVersion)
        return;
    configurationVersion = version;
    budget = tokens;
}

std::string encodeLedger(const WorkspaceLedger& ledger)
{
    json rows = json::object();
    for (const auto& [host, row] : ledger.rows)
        rows[host] = json::array({ row.incarnation, row.sequence, row.granted });
    return json({ { "configuration", ledger.configurationVersion }, { "budget", ledger.budget }, { "closed", ledger.closed }, { "rows", rows } }).dump();
}

std::optional<WorkspaceLedger> decodeLedger(const std::string& text, Core::Reason& reason)
{
    try {
        json object = json::parse(text);
        WorkspaceLedger ledger;
        ledger.configurationVersion = object.at("configuration").get<uint64_t>();
        ledger.budget = object.at("budget").get<Tokens>();
        ledger.closed = object.at("closed").get<Tokens>();
        for (const auto& [host, row] : object.at("rows").items())
            ledger.rows[host] = { row.at(0).get<std::string>(), row.at(1).get<uint64_t>(), row.at(2).get<Tokens>() };
        return ledger;
    } catch (const json::exception& error) {
        reason = { Core::FailureKind::Invalid, "decode ledger", "store", error.what() };
        return std::nullopt;
    }
}

}
