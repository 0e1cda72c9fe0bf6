#pragma once

#include "Sections.h"
#include <set>
#include <string>
#include <vector>

namespace Intent {

// Checks one note against the state from which it was made. References are resolved in the state that the note
// leads to, without building it: a copy of 160,000 budgets for each check would block the daemon.
class NoteChecker {
public:
    NoteChecker(const FleetState&, const Note&, std::vector<NoteError>&);

    void check();

private:
    template <typename Record>
    void checkNames(const Section<Record>&);
    void checkHosts();
    void checkReferences();
    void checkDependents();

    void checkReferencesOf(const Budget&, const std::string& path);
    void checkReferencesOf(const TopUp&, const std::string& path);
    void checkReferencesOf(const Key&, const std::string& path);
    void checkReferencesOf(const RoutingRule&, const std::string& path);
    void checkReferencesOf(const Endpoint&, const std::string& path);
    void checkReferencesOf(const Service&, const std::string& path);
    void checkReferencesOf(const Workspace&, const std::string&) { }
    void checkReferencesOf(const Model&, const std::string&) { }

    template <typename Record>
    void checkUnchangedRecords(const Section<Record>&);
    void checkWithdrawnWorkspaces();
    void checkWithdrawnBudgets();

    void requireWorkspace(const std::string& name, const std::string& path);
    void requireBudget(const std::string& workspace, const std::string& budget, const std::string& path);
    void requireModel(const std::string& name, const std::string& path);
    void requireEndpoint(const std::string& name, EndpointKind, const std::string& path);

    // The record in the resulting state, or null.
    template <typename Record>
    const Record* find(const Section<Record>&, const std::string& name) const;
    // Whether the note adds, changes or withdraws the name.
    bool isTouched(const char* section, const std::string& name) const;
    void report(const std::string& field, std::string reason);

    const FleetState& m_state;
    const Note& m_note;
    std::vector<NoteError>& m_errors;
    // "section/name" of what the note withdraws.
    std::set<std::string> m_withdrawn;
    // Records that the note adds or changes, by "section/name".
    std::map<std::string, const void*> m_written;
};

}
