#pragma once

#include "Sections.h"
#include <set>
#include <string>
#include <vector>

namespace Intent {

// Validates a note against the state it is based on. References are resolved in the resulting state without building
// that state, because copying 160,000 budgets for each validation would block the daemon.
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

    // Returns the record in the resulting state, or null.
    template <typename Record>
    const Record* find(const Section<Record>&, const std::string& name) const;
    // Returns whether the note adds, changes or withdraws the record.
    bool isModified(const char* section, const std::string& name) const;
    void report(const std::string& field, std::string reason);

    const FleetState& m_state;
    const Note& m_note;
    std::vector<NoteError>& m_errors;
    // Keys of the records that the note withdraws.
    std::set<std::string> m_withdrawn;
    // Records that the note adds or changes, by key.
    std::map<std::string, const void*> m_upserted;
};

}
