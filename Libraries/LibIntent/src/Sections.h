#pragma once

#include "LibIntent/Note.h"
#include <map>
#include <string>
#include <vector>

namespace Intent {

// The name under which a record is kept in FleetState and withdrawn in notes.
inline std::string nameOf(const Workspace& record) { return record.name; }
inline std::string nameOf(const Budget& record) { return record.workspace + "/" + record.name; }
inline std::string nameOf(const TopUp& record) { return record.id; }
inline std::string nameOf(const Key& record) { return record.sha256; }
inline std::string nameOf(const Model& record) { return record.name; }
inline std::string nameOf(const RoutingRule& record) { return record.name; }
inline std::string nameOf(const Endpoint& record) { return record.name; }
inline std::string nameOf(const Service& record) { return record.name; }

// Where the records of one kind are kept in a state and in a note.
template <typename Record>
struct Section {
    const char* name;
    std::map<std::string, Record> FleetState::*inState;
    std::vector<Record> NoteRecords::*inNote;
    // Null for top-ups, which can only be added.
    std::vector<std::string> NoteWithdrawals::*withdrawn;

    bool canOnlyBeAdded() const { return withdrawn == nullptr; }
    std::string tombstoneOf(const std::string& recordName) const { return std::string(name) + "/" + recordName; }
};

// Calls visit with each Section, in the order of printing; referenced sections come before those that refer to them.
template <typename Visitor>
void forEachSection(Visitor&& visit)
{
    visit(Section<Workspace> { "workspaces", &FleetState::workspaces, &NoteRecords::workspaces, &NoteWithdrawals::workspaces });
    visit(Section<Budget> { "budgets", &FleetState::budgets, &NoteRecords::budgets, &NoteWithdrawals::budgets });
    visit(Section<TopUp> { "top_ups", &FleetState::topUps, &NoteRecords::topUps, nullptr });
    visit(Section<Key> { "keys", &FleetState::keys, &NoteRecords::keys, &NoteWithdrawals::keys });
    visit(Section<Model> { "models", &FleetState::models, &NoteRecords::models, &NoteWithdrawals::models });
    visit(Section<RoutingRule> { "routing_rules", &FleetState::routingRules, &NoteRecords::routingRules, &NoteWithdrawals::routingRules });
    visit(Section<Endpoint> { "endpoints", &FleetState::endpoints, &NoteRecords::endpoints, &NoteWithdrawals::endpoints });
    visit(Section<Service> { "services", &FleetState::services, &NoteRecords::services, &NoteWithdrawals::services });
}

}
