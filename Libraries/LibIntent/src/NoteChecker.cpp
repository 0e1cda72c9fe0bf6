#include "NoteChecker.h"

namespace Intent {

static const Section<Workspace> workspaces { "workspaces", &FleetState::workspaces, nullptr, nullptr };
static const Section<Budget> budgets { "budgets", &FleetState::budgets, nullptr, nullptr };
static const Section<Model> models { "models", &FleetState::models, nullptr, nullptr };
static const Section<Endpoint> endpoints { "endpoints", &FleetState::endpoints, nullptr, nullptr };

static std::string pathOf(const char* part, const char* section, const std::string& name)
{
    return std::string(part) + "." + section + "." + name;
}

NoteChecker::NoteChecker(const FleetState& state, const Note& note, std::vector<NoteError>& errors)
    : m_state(state)
    , m_note(note)
    , m_errors(errors)
{
}

void NoteChecker::check()
{
    if (m_note.fromGeneration != m_state.generation)
        report("note.from_generation", "is " + std::to_string(m_note.fromGeneration) + ", but the state is at generation " + std::to_string(m_state.generation));
    if (m_note.isEmpty())
        report("note", "contains no changes");
    forEachSection([&](const auto& section) { checkNames(section); });
    checkHosts();
    checkReferences();
    checkDependents();
}

template <typename Record>
void NoteChecker::checkNames(const Section<Record>& section)
{
    const std::map<std::string, Record>& current = m_state.*section.inState;
    for (const Record& record : m_note.added.*section.inNote) {
        std::string name = nameOf(record);
        std::string path = pathOf("added", section.name, name);
        if (!m_upserted.emplace(section.recordKey(name), &record).second)
            report(path, "appears more than once in the note");
        else if (current.contains(name))
            report(path, "already exists");
        else if (m_state.tombstones.contains(section.recordKey(name)))
            report(path, "was withdrawn; list it under changed to restore it");
    }
    for (const Record& record : m_note.changed.*section.inNote) {
        std::string name = nameOf(record);
        std::string path = pathOf("changed", section.name, name);
        if (section.isAppendOnly())
            report(path, "can only be added");
        else if (!m_upserted.emplace(section.recordKey(name), &record).second)
            report(path, "appears more than once in the note");
        else if (!current.contains(name) && !m_state.tombstones.contains(section.recordKey(name)))
            report(path, "does not exist");
    }
    if (section.isAppendOnly())
        return;
    for (const std::string& name : m_note.withdrawn.*section.withdrawn) {
        std::string path = pathOf("withdrawn", section.name, name);
        bool isFirst = m_withdrawn.insert(section.recordKey(name)).second;
        if (!isFirst || m_upserted.contains(section.recordKey(name)))
            report(path, "appears more than once in the note");
        else if (!current.contains(name))
            report(path, m_state.tombstones.contains(section.recordKey(name)) ? "is already withdrawn" : "does not exist");
    }
}

void NoteChecker::checkHosts()
{
    std::set<std::string> seen;
    for (const std::string& host : m_note.withdrawn.hosts) {
        if (!seen.insert(host).second)
            report(pathOf("withdrawn", "hosts", host), "appears more than once in the note");
        else if (m_state.withdrawnHosts.contains(host))
            report(pathOf("withdrawn", "hosts", host), "is already withdrawn");
    }
}

void NoteChecker::checkReferences()
{
    forEachSection([&](const auto& section) {
        for (const auto& record : m_note.added.*section.inNote)
            checkReferencesOf(record, pathOf("added", section.name, nameOf(record)));
        for (const auto& record : m_note.changed.*section.inNote)
            checkReferencesOf(record, pathOf("changed", section.name, nameOf(record)));
    });
}

void NoteChecker::checkReferencesOf(const Budget& budget, const std::string& path)
{
    requireWorkspace(budget.workspace, path + ".workspace");
}

void NoteChecker::checkReferencesOf(const TopUp& topUp, const std::string& path)
{
    requireBudget(topUp.workspace, topUp.budget, path + ".budget");
}

void NoteChecker::checkReferencesOf(const Key& key, const std::string& path)
{
    requireBudget(key.workspace, key.budget, path + ".budget");
}

void NoteChecker::checkReferencesOf(const RoutingRule& rule, const std::string& path)
{
    if (rule.workspace != "*")
        requireWorkspace(rule.workspace, path + ".workspace");
    requireModel(rule.model, path + ".model");
    for (const std::string& endpoint : rule.endpoints)
        requireEndpoint(endpoint, EndpointKind::Engine, path + ".endpoints");
}

void NoteChecker::checkReferencesOf(const Endpoint& endpoint, const std::string& path)
{
    if (endpoint.kind == EndpointKind::Service && !endpoint.models.empty())
        report(path + ".models", "must be empty because the endpoint is a service");
    for (const std::string& model : endpoint.models)
        requireModel(model, path + ".models");
}

void NoteChecker::checkReferencesOf(const Service& service, const std::string& path)
{
    for (const std::string& endpoint : service.endpoints)
        requireEndpoint(endpoint, EndpointKind::Service, path + ".endpoints");
}

// Validates records that the note does not modify but whose references it may break.
void NoteChecker::checkDependents()
{
    checkWithdrawnWorkspaces();
    checkWithdrawnBudgets();
    bool endpointsChange = !m_note.withdrawn.endpoints.empty() || !m_note.changed.endpoints.empty();
    bool modelsChange = !m_note.withdrawn.models.empty();
    bool workspacesChange = !m_note.withdrawn.workspaces.empty();
    if (endpointsChange || modelsChange || workspacesChange)
        checkUnchangedRecords(Section<RoutingRule> { "routing_rules", &FleetState::routingRules, nullptr, nullptr });
    if (endpointsChange)
        checkUnchangedRecords(Section<Service> { "services", &FleetState::services, nullptr, nullptr });
    if (modelsChange)
        checkUnchangedRecords(endpoints);
}

template <typename Record>
void NoteChecker::checkUnchangedRecords(const Section<Record>& section)
{
    for (const auto& [name, record] : m_state.*section.inState) {
        if (!isModified(section.name, name))
            checkReferencesOf(record, pathOf("state", section.name, name));
    }
}

void NoteChecker::checkWithdrawnWorkspaces()
{
    for (const std::string& workspace : m_note.withdrawn.workspaces) {
        std::map<std::string, Budget>::const_iterator it = m_state.budgets.lower_bound(workspace + "/");
        for (; it != m_state.budgets.end() && it->second.workspace == workspace; ++it) {
            if (!m_withdrawn.contains(budgets.recordKey(it->first)))
                report(pathOf("withdrawn", "workspaces", workspace), "has the budget " + it->first + ", which must be withdrawn before or together with it");
        }
    }
}

void NoteChecker::checkWithdrawnBudgets()
{
    if (m_note.withdrawn.budgets.empty())
        return;
    std::set<std::string> withdrawn(m_note.withdrawn.budgets.begin(), m_note.withdrawn.budgets.end());
    for (const auto& [sha256, key] : m_state.keys) {
        std::string budget = key.workspace + "/" + key.budget;
        if (withdrawn.contains(budget) && !isModified("keys", sha256))
            report(pathOf("withdrawn", "budgets", budget), "has the key " + sha256 + ", which must be withdrawn before or together with it");
    }
}

void NoteChecker::requireWorkspace(const std::string& name, const std::string& path)
{
    if (!find(workspaces, name))
        report(path, "there is no workspace " + name);
}

void NoteChecker::requireBudget(const std::string& workspace, const std::string& budget, const std::string& path)
{
    if (!find(budgets, workspace + "/" + budget))
        report(path, "there is no budget " + workspace + "/" + budget);
}

void NoteChecker::requireModel(const std::string& name, const std::string& path)
{
    if (!find(models, name))
        report(path, "there is no model " + name);
}

void NoteChecker::requireEndpoint(const std::string& name, EndpointKind kind, const std::string& path)
{
    const Endpoint* endpoint = find(endpoints, name);
    if (!endpoint)
        report(path, "there is no endpoint " + name);
    else if (endpoint->kind != kind)
        report(path, "the endpoint " + name + (kind == EndpointKind::Service ? " is an engine, not a service" : " is a service, not an engine"));
}

template <typename Record>
const Record* NoteChecker::find(const Section<Record>& section, const std::string& name) const
{
    std::string key = section.recordKey(name);
    if (m_withdrawn.contains(key))
        return nullptr;
    std::map<std::string, const void*>::const_iterator upserted = m_upserted.find(key);
    if (upserted != m_upserted.end())
        return static_cast<const Record*>(upserted->second);
    typename std::map<std::string, Record>::const_iterator current = (m_state.*section.inState).find(name);
    return current == (m_state.*section.inState).end() ? nullptr : &current->second;
}

bool NoteChecker::isModified(const char* section, const std::string& name) const
{
    std::string key = std::string(section) + "/" + name;
    return m_withdrawn.contains(key) || m_upserted.contains(key);
}

void NoteChecker::report(const std::string& field, std::string reason)
{
    m_errors.push_back({ 0, field, std::move(reason) });
}

}
