#pragma once

#include "LibIntent/Note.h"
#include <map>
#include <string>
#include <vector>

namespace Intent {

// Returns the name that identifies a record in FleetState and in the withdrawals of a note.
inline std::string nameOf(const Workspace& record) { return record.name; }
inline std::string nameOf(const Budget& record) { return record.workspace + "/" + record.name; }
inline std::string nameOf(const TopUp& record) { return record.id; }
inline std::string nameOf(const Key& record) { return record.sha256; }
inline std::string nameOf(const Model& record) { return record.name; }
inline std::string nameOf(const RoutingRule& record) { return record.name; }
inline std::string nameOf(const Endpoint& record) { return record.name; }
inline std::string nameOf(const Service& record) { return record.name; }

// Describes where the records of one type are stored in a state and in a note.
template <typename Record>
struct Section {
    const char* name;
    std::map<std::string, Record> FleetState::*inState;
    std::vector<Record> NoteRecords::*inNote;
    // Null for top-ups, which are append-only.
    std::vector<std::string> NoteWithdrawals::*withdrawn;

    bool isAppendOnly() const { return withdrawn == nullptr; }
    // "section/name", which identifies a record across all sections; also the format of tombstones.
    std::string recordKey(const std::string& recordName) const { return std::string(name) + "/" + recordName; }
};

// Calls visit for each Section in printing order. Referenced sections precede those that refer to them.
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
