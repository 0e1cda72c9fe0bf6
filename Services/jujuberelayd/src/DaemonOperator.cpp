#include "Daemon.h"
#include "LibCore/Hash.h"
#include "LibIntent/ApplyNote.h"
#include <nlohmann/json.hpp>

// Operator API of the daemon.

using Json = nlohmann::json;

static constexpr std::chrono::seconds acceptTimeout(6);
static constexpr std::chrono::seconds auditTimeout(3);

Operator::OperatorSettings Daemon::makeOperatorSettings() const
{
    Operator::OperatorSettings settings;
    settings.keySha256 = m_settings.operatorKeySha256;
    return settings;
}

Operator::OperatorHooks Daemon::makeOperatorHooks()
{
    Operator::OperatorHooks hooks;
    hooks.acceptNote = [this](Intent::Submission submission) { return acceptNote(std::move(submission)); };
    hooks.state = [this] { return m_intent.state(); };
    hooks.changesSince = [this](uint64_t from) { return changesSince(from); };
    hooks.history = [this](uint64_t after, size_t limit, Core::Reason& reason) { return history(after, limit, reason); };
    hooks.members = [this] { return m_membership.all(); };
    hooks.freshness = [this] { return m_freshness.reason(Core::SteadyClock::now()); };
    hooks.audit = [this](Core::Reason& reason) { return auditJson(reason); };
    return hooks;
}

Core::Task<Intent::AcceptResult> Daemon::acceptNote(Intent::Submission submission)
{
    Intent::AcceptResult result = co_await m_intent.log().accept(m_intent.state(), std::move(submission), Core::Deadline::after(acceptTimeout));
    if (result.note)
        m_intent.follower().receive({ *result.note });
    co_return result;
}

std::optional<Intent::Note> Daemon::changesSince(uint64_t from) const
{
    std::optional<std::vector<Intent::AcceptedNote>> accepted = m_intent.follower().notesAfter(from);
    if (!accepted)
        return std::nullopt;
    std::vector<Intent::Note> notes;
    for (const Intent::AcceptedNote& item : *accepted) {
        std::vector<Intent::NoteError> errors;
        std::optional<Intent::Note> note = Intent::parseNote(item.text, errors);
        if (!note)
            return std::nullopt;
        notes.push_back(std::move(*note));
    }
    return Intent::combineNotes(notes);
}

Core::Task<std::optional<std::vector<Intent::AcceptedNote>>> Daemon::history(uint64_t after, size_t limit, Core::Reason& reason)
{
    std::optional<Intent::NoteBatch> read = co_await m_intent.log().readAfter(after, Core::Deadline::after(acceptTimeout), reason);
    if (!read)
        co_return std::nullopt;
    if (read->notes.size() > limit)
        read->notes.resize(limit);
    co_return std::move(read->notes);
}

static Json budgetJson(const Ledger::BudgetId& budget, const Ledger::BudgetAudit& audit)
{
    Ledger::Tokens granted = 0;
    for (const std::pair<const Ledger::Holder, Ledger::Tokens>& holder : audit.outstanding)
        granted += holder.second;
    return { { "budget", budget.text() }, { "topped_up", audit.toppedUp }, { "spent", audit.spent }, { "reserved", audit.reserved },
        { "granted", granted }, { "ungranted", audit.ungranted }, { "stranded", audit.stranded }, { "bills", audit.bills },
        { "requests_with_several_attempts", audit.requestsWithSeveralAttempts } };
}

// Audits all ledger shards: no budget may have spent more than its top-ups, or have more top-ups than the intended state.
Core::Task<std::optional<std::string>> Daemon::auditJson(Core::Reason& reason)
{
    Json budgets = Json::array();
    Json violations = Json::array();
    std::map<std::string, Ledger::Tokens> toppedUp;
    for (uint32_t shard = 0; shard < m_settings.shardCount; ++shard) {
        std::optional<Ledger::LedgerAudit> audit = co_await m_ledger.audit(shard, Core::Deadline::after(auditTimeout), reason);
        if (!audit)
            co_return std::nullopt;
        for (const std::pair<const Ledger::BudgetId, Ledger::BudgetAudit>& item : audit->budgets) {
            budgets.push_back(budgetJson(item.first, item.second));
            toppedUp[item.first.text()] = item.second.toppedUp;
            if (item.second.spent > item.second.toppedUp)
                violations.push_back({ { "budget", item.first.text() }, { "reason", "spent more tokens than were topped up" } });
        }
    }
    std::map<std::string, Ledger::Tokens> intended;
    for (const std::pair<const std::string, Intent::TopUp>& item : m_intent.state()->topUps)
        intended[item.second.workspace + "/" + item.second.budget] += item.second.tokens;
    for (const std::pair<const std::string, Ledger::Tokens>& item : toppedUp) {
        if (item.second > intended[item.first])
            violations.push_back({ { "budget", item.first }, { "reason", "the ledger has more top-up tokens than the accepted notes" } });
    }
    Json report = { { "budgets", budgets }, { "violations", violations }, { "top_ups_pending", m_topUps.pending() } };
    co_return report.dump();
}

Core::Task<void> Daemon::handleOperator(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    if (HTTP::pathOf(request.target) == "/operator/faults") {
        co_await writer.send(replaceFaults(request), ignored);
        co_return;
    }
    co_await m_operatorApi.handle(std::move(request), writer);
}

// Blocks links to other hosts in partition tests. Rejected unless fault_switches is enabled.
HTTP::Response Daemon::replaceFaults(const HTTP::Request& request)
{
    std::string key = HTTP::findHeader(request.headers, "Authorization").value_or("");
    bool isOperator = key.starts_with("Bearer ") && Core::constantTimeEqual(Core::sha256Hex(key.substr(7)), m_settings.operatorKeySha256);
    if (!isOperator || !m_settings.faultSwitches)
        return { 403, { { "Content-Type", "application/json" } }, R"({"error":{"code":"forbidden"}})" };
    Json body = Json::parse(request.body, nullptr, false);
    std::vector<std::string> hosts;
    if (!body.is_object() || !body.contains("blocked_hosts") || !body["blocked_hosts"].is_array())
        return { 400, { { "Content-Type", "application/json" } }, R"({"error":{"code":"bad_request"}})" };
    for (const Json& host : body["blocked_hosts"]) {
        if (host.is_string())
            hosts.push_back(host.get<std::string>());
    }
    m_network.setBlockedHosts(std::move(hosts));
    return { 200, { { "Content-Type", "application/json" } }, "{}" };
}
