#pragma once

#include "LibIntent/ApplyNote.h"
#include <string>

// Note for generation 0: two workspaces, a budget with a key and a top-up, an engine and a service.
inline const std::string initialNote = R"(note: {from_generation: 0, author: ada, reason: first fleet}
added:
  workspaces:
    - {name: orders, priority: 5}
    - {name: trials}
  budgets:
    - {workspace: orders, name: day}
  top_ups:
    - {id: t1, workspace: orders, budget: day, tokens: 1000000}
  keys:
    - {sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa, workspace: orders, budget: day}
  models:
    - {name: large, max_output_tokens: 1024, bytes_per_token: 2}
  endpoints:
    - {name: engine-1, kind: engine, address: "127.0.0.1:9001", failure_domain: a, models: [large], checks_fencing: true}
    - {name: desk-1, kind: service, address: "127.0.0.1:9101", failure_domain: b, slots: 8}
  routing_rules:
    - {name: default, workspace: "*", model: large, endpoints: [engine-1]}
  services:
    - {name: desk, endpoints: [desk-1], price_tokens: 50}
)";

inline std::string noteText(uint64_t from, const std::string& author, const std::string& body)
{
    return "note: {from_generation: " + std::to_string(from) + ", author: " + author + ", reason: test}\n" + body;
}

inline Intent::Note parsed(const std::string& text)
{
    std::vector<Intent::NoteError> errors;
    return Intent::parseNote(text, errors).value();
}

inline Intent::FleetState initialState()
{
    std::vector<Intent::NoteError> errors;
    return Intent::applyNote({}, parsed(initialNote), errors).value();
}
