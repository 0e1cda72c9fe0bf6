#include "Examples.h"

#include "LibCore/Random.h"
#include <algorithm>
#include <criterion/criterion.h>

using namespace Intent;

static std::vector<NoteError> errorsOf(const FleetState& state, const std::string& body)
{
    std::vector<NoteError> errors;
    NoteLines lines;
    std::optional<Note> note = parseNote(noteText(state.generation, "bea", body), errors, &lines);
    cr_assert(note, "%s", errors.empty() ? "" : errors.front().text().c_str());
    std::optional<FleetState> next = applyNote(state, *note, errors);
    cr_assert_eq(next.has_value(), errors.empty());
    addLines(errors, lines);
    return errors;
}

static FleetState applied(const FleetState& state, const std::string& body)
{
    std::vector<NoteError> errors;
    std::optional<FleetState> next = applyNote(state, parsed(noteText(state.generation, "bea", body)), errors);
    cr_assert(next, "%s", errors.empty() ? "" : errors.front().text().c_str());
    return *next;
}

// Dangling references must be rejected, whether a new record refers to a missing one or a withdrawal removes a record
// that others still refer to.
Test(ApplyNote, rejectsDanglingReferences)
{
    FleetState state = initialState();
    const char* rejected[] = {
        "added: {budgets: [{workspace: none, name: b}]}",
        "added: {top_ups: [{id: t2, workspace: orders, budget: night, tokens: 5}]}",
        "added: {keys: [{sha256: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb, workspace: trials, budget: day}]}",
        "added: {routing_rules: [{name: r, workspace: none, model: large, endpoints: [engine-1]}]}",
        "added: {routing_rules: [{name: r, workspace: orders, model: small, endpoints: [engine-1]}]}",
        "added: {routing_rules: [{name: r, workspace: orders, model: large, endpoints: [desk-1]}]}",
        "added: {services: [{name: s, endpoints: [engine-1]}]}",
        "added: {services: [{name: s, endpoints: [none]}]}",
        "added: {endpoints: [{name: e, kind: engine, address: '10.0.0.1:80', failure_domain: a, models: [small]}]}",
        "added: {endpoints: [{name: e, kind: service, address: '10.0.0.1:80', failure_domain: a, models: [large]}]}",
        "withdrawn: {workspaces: [orders]}",
        "withdrawn: {budgets: [orders/day]}",
        "withdrawn: {models: [large]}",
        "withdrawn: {endpoints: [engine-1]}",
        "withdrawn: {endpoints: [desk-1]}",
        "withdrawn: {workspaces: [none]}",
        "changed: {endpoints: [{name: engine-1, kind: service, address: '127.0.0.1:9001', failure_domain: a, models: [], checks_fencing: true, slots: 32}]}",
        "changed: {workspaces: [{name: none, priority: 0, grant_share_percent: 25, recall_grants: true}]}",
        "added: {workspaces: [{name: orders}]}",
        "added: {workspaces: [{name: x}, {name: x}]}",
        "added: {workspaces: [{name: x}]}\nwithdrawn: {workspaces: [x]}",
        "{}",
    };
    for (const char* body : rejected)
        cr_assert_not(errorsOf(state, std::string(body) == "{}" ? "" : body).empty(), "%s", body);
    std::vector<NoteError> errors = errorsOf(state, "added:\n  workspaces:\n    - {name: new}\n    - {name: orders}\n");
    cr_assert_eq(errors.size(), 1u);
    cr_assert_eq(errors[0].line, 5);
    cr_assert_eq(errors[0].field, "added.workspaces.orders");
}

// A workspace can be withdrawn in one note together with its budgets and keys.
Test(ApplyNote, withdrawsWorkspaceWithItsBudgets)
{
    FleetState state = applied(initialState(), "withdrawn: {workspaces: [orders], budgets: [orders/day], keys: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]}");
    cr_assert(state.budgets.empty());
    cr_assert(state.keys.empty());
    cr_assert_eq(state.topUps.size(), 1u);
}

// A withdrawn record must not be restored by accident, for example by a note that was written before the withdrawal.
Test(ApplyNote, withdrawnRecordsCannotBeAddedAgain)
{
    FleetState state = applied(initialState(), "withdrawn: {workspaces: [trials], hosts: [host-1]}");
    cr_assert(state.tombstones.contains("workspaces/trials"));
    std::vector<NoteError> errors = errorsOf(state, "added: {workspaces: [{name: trials}]}");
    cr_assert_eq(errors.size(), 1u);
    cr_assert_neq(errors[0].reason.find("withdrawn"), std::string::npos);
    cr_assert_not(errorsOf(state, "withdrawn: {workspaces: [trials]}").empty());
    cr_assert_not(errorsOf(state, "withdrawn: {hosts: [host-1]}").empty());
    state = applied(state, "changed: {workspaces: [{name: trials, priority: 1, grant_share_percent: 25, recall_grants: true}]}");
    cr_assert(state.workspaces.contains("trials"));
    cr_assert_not(state.tombstones.contains("workspaces/trials"));
}

// A note that is based on another generation must not be applied to the current one.
Test(ApplyNote, rejectsWrongGeneration)
{
    std::vector<NoteError> errors;
    cr_assert_not(applyNote(initialState(), parsed(noteText(0, "bea", "added: {workspaces: [{name: x}]}")), errors));
    cr_assert_eq(errors.at(0).field, "note.from_generation");
}

namespace {

// Generates a random note over a small set of names, so that notes refer to the same records. About half are valid.
std::string randomBody()
{
    std::string added;
    std::string changed;
    std::string withdrawn;
    for (size_t edits = 1 + Core::randomBelow(3); edits > 0; --edits) {
        std::string n = std::to_string(Core::randomBelow(3));
        std::string m = std::to_string(Core::randomBelow(3));
        bool isService = Core::randomBelow(2) != 0;
        std::string endpoint = "{name: e" + n + ", kind: " + (isService ? "service" : "engine") + ", address: '10.0.0.1:80', failure_domain: a, models: "
            + (isService ? "[]" : "[m" + m + "]") + ", checks_fencing: false, slots: " + std::to_string(1 + Core::randomBelow(9)) + "}";
        std::pair<std::string, std::string> records[] = {
            { "workspaces", "{name: w" + n + ", priority: " + m + ", grant_share_percent: 25, recall_grants: true}" },
            { "budgets", "{workspace: w" + n + ", name: b" + m + "}" },
            { "models", "{name: m" + n + ", max_output_tokens: 10" + m + ", bytes_per_token: 1}" },
            { "keys", "{sha256: " + std::string(64, static_cast<char>('a' + n[0] - '0')) + ", workspace: w" + n + ", budget: b" + m + "}" },
            { "endpoints", endpoint },
            { "routing_rules", "{name: r" + n + ", workspace: " + (m == "0" ? "'*'" : "w" + m) + ", model: m" + m + ", endpoints: [e" + n + "]}" },
            { "services", "{name: s" + n + ", endpoints: [e" + m + "], is_repeatable: false, price_tokens: " + m + "}" },
            { "top_ups", "{id: t" + std::to_string(Core::randomBelow(20)) + ", workspace: w" + n + ", budget: b" + m + ", tokens: 5}" },
        };
        std::string names[] = { "w" + n, "w" + n + "/b" + m, "m" + n, std::string(64, static_cast<char>('a' + n[0] - '0')), "e" + n, "r" + n, "s" + n };
        size_t section = Core::randomBelow(8);
        size_t part = Core::randomBelow(4);
        if (part == 0 && section < 7)
            withdrawn += "  " + records[section].first + ": [" + names[section] + "]\n";
        else if (part == 1 && section < 7)
            changed += "  " + records[section].first + ": [" + records[section].second + "]\n";
        else
            added += "  " + records[section].first + ": [" + records[section].second + "]\n";
    }
    std::string body;
    if (!added.empty())
        body += "added:\n" + added;
    if (!changed.empty())
        body += "changed:\n" + changed;
    if (!withdrawn.empty())
        body += "withdrawn:\n" + withdrawn;
    return body;
}

// Reference implementation of applyNote: copies the state, applies the note and checks every reference of the result.
struct ReferenceModel {
    FleetState state;
    bool isValid { true };
    std::set<std::string> modified;

    template <typename Record>
    void put(std::map<std::string, Record>& records, const char* section, const std::string& name, const Record& record, bool isAddition)
    {
        std::string key = std::string(section) + "/" + name;
        bool exists = records.contains(name);
        bool isTombstoned = state.tombstones.contains(key);
        isValid = isValid && modified.insert(key).second && (isAddition ? !exists && !isTombstoned : exists || isTombstoned);
        records[name] = record;
        state.tombstones.erase(key);
    }

    template <typename Record>
    void remove(std::map<std::string, Record>& records, const char* section, const std::vector<std::string>& names)
    {
        for (const std::string& name : names) {
            std::string key = std::string(section) + "/" + name;
            isValid = isValid && modified.insert(key).second && records.erase(name) == 1;
            state.tombstones.insert(key);
        }
    }

    void putAll(const NoteRecords& records, bool isAddition)
    {
        for (const Workspace& record : records.workspaces)
            put(state.workspaces, "workspaces", record.name, record, isAddition);
        for (const Budget& record : records.budgets)
            put(state.budgets, "budgets", record.workspace + "/" + record.name, record, isAddition);
        for (const TopUp& record : records.topUps)
            put(state.topUps, "top_ups", record.id, record, isAddition);
        for (const Key& record : records.keys)
            put(state.keys, "keys", record.sha256, record, isAddition);
        for (const Model& record : records.models)
            put(state.models, "models", record.name, record, isAddition);
        for (const RoutingRule& record : records.routingRules)
            put(state.routingRules, "routing_rules", record.name, record, isAddition);
        for (const Endpoint& record : records.endpoints)
            put(state.endpoints, "endpoints", record.name, record, isAddition);
        for (const Service& record : records.services)
            put(state.services, "services", record.name, record, isAddition);
    }

    bool hasEndpoint(const std::string& name, EndpointKind kind) const
    {
        return state.endpoints.contains(name) && state.endpoints.at(name).kind == kind;
    }

    void checkAll(const Note& note)
    {
        for (const auto& [name, budget] : state.budgets)
            isValid = isValid && state.workspaces.contains(budget.workspace);
        for (const TopUp& topUp : note.added.topUps)
            isValid = isValid && state.budgets.contains(topUp.workspace + "/" + topUp.budget);
        for (const auto& [name, key] : state.keys)
            isValid = isValid && state.budgets.contains(key.workspace + "/" + key.budget);
        for (const auto& [name, endpoint] : state.endpoints) {
            for (const std::string& model : endpoint.models)
                isValid = isValid && state.models.contains(model);
        }
        for (const auto& [name, rule] : state.routingRules) {
            isValid = isValid && (rule.workspace == "*" || state.workspaces.contains(rule.workspace)) && state.models.contains(rule.model);
            for (const std::string& endpoint : rule.endpoints)
                isValid = isValid && hasEndpoint(endpoint, EndpointKind::Engine);
        }
        for (const auto& [name, service] : state.services) {
            for (const std::string& endpoint : service.endpoints)
                isValid = isValid && hasEndpoint(endpoint, EndpointKind::Service);
        }
    }

    static std::optional<FleetState> apply(const FleetState& before, const Note& note)
    {
        ReferenceModel model { before, note.fromGeneration == before.generation, {} };
        model.putAll(note.added, true);
        model.putAll(note.changed, false);
        model.remove(model.state.workspaces, "workspaces", note.withdrawn.workspaces);
        model.remove(model.state.budgets, "budgets", note.withdrawn.budgets);
        model.remove(model.state.keys, "keys", note.withdrawn.keys);
        model.remove(model.state.models, "models", note.withdrawn.models);
        model.remove(model.state.routingRules, "routing_rules", note.withdrawn.routingRules);
        model.remove(model.state.endpoints, "endpoints", note.withdrawn.endpoints);
        model.remove(model.state.services, "services", note.withdrawn.services);
        model.checkAll(note);
        ++model.state.generation;
        return model.isValid ? std::optional(model.state) : std::nullopt;
    }
};

}

// Compares applyNote with the reference implementation on random notes, and checks that diff, stateAsNote and
// combineNotes reproduce the same state.
Test(ApplyNote, agreesWithReferenceModel)
{
    Core::seedRandom(51);
    int accepted = 0;
    int rejected = 0;
    FleetState state;
    std::vector<Note> history;
    FleetState historyStart;
    for (int round = 0; round < 20000; ++round) {
        std::vector<NoteError> errors;
        std::optional<Note> note = parseNote(noteText(state.generation, "bea", randomBody()), errors);
        if (!note)
            continue;
        std::optional<FleetState> next = applyNote(state, *note, errors);
        std::optional<FleetState> expected = ReferenceModel::apply(state, *note);
        cr_assert(next == expected, "round %d: %s", round, printNote(*note).c_str());
        if (!next) {
            ++rejected;
            continue;
        }
        ++accepted;
        std::vector<NoteError> diffErrors;
        if (*next != state && !diff(state, *next).isEmpty())
            cr_assert(applyNote(state, diff(state, *next), diffErrors) == next, "round %d", round);
        cr_assert(stateFromNote(parsed(printNote(stateAsNote(*next)))) == *next, "round %d", round);
        history.push_back(*note);
        state = *next;
        if (history.size() < 5)
            continue;
        Note combined = combineNotes(history);
        std::optional<FleetState> applied = applyNote(historyStart, combined, diffErrors);
        if (applied) {
            applied->generation = state.generation;
            applied->tombstones = state.tombstones;
            cr_assert(applied == state, "round %d: %s", round, printNote(combined).c_str());
        }
        history.clear();
        historyStart = state;
    }
    cr_assert_gt(accepted, 1000);
    cr_assert_gt(rejected, 1000);
}
