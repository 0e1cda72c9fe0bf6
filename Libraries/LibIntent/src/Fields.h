#pragma once

#include "LibIntent/FleetState.h"
#include <type_traits>

namespace Intent {

// Valid values of a field.
enum class FieldRule {
    // Starts with a letter or digit, then letters, digits, '.', '_' and '-'; at most 128 characters.
    Name,
    // Like Name, but additionally allows '/' and ':'.
    ModelName,
    // A name or "*".
    NameOrAny,
    // 64 lower-case hexadecimal digits.
    Sha256,
    // Integer from -1000 to 1000.
    Priority,
    // Integer from 1 to 100.
    Percent,
    // Integer from 1 to 10^15.
    Positive,
    // Integer from 0 to 10^15.
    NonNegative,
    // Integer from 1 to 1,000,000.
    Slots,
    // Determined by the type of the field: "true" or "false", "engine" or "service", or "IP:PORT".
    ByType,
};

enum class Presence {
    Required,
    Optional,
};

template <typename Record, typename ExpectedRecord>
concept RecordOf = std::is_same_v<std::remove_const_t<Record>, ExpectedRecord>;

// visitFields calls visit(name, member, rule, presence) for each field of a record, in printing order.

template <typename Visitor, RecordOf<Workspace> Record>
void visitFields(Visitor& visit, Record& record)
{
    visit("name", record.name, FieldRule::Name, Presence::Required);
    visit("priority", record.priority, FieldRule::Priority, Presence::Optional);
    visit("grant_share_percent", record.grantSharePercent, FieldRule::Percent, Presence::Optional);
    visit("recall_grants", record.recallGrants, FieldRule::ByType, Presence::Optional);
}

template <typename Visitor, RecordOf<Budget> Record>
void visitFields(Visitor& visit, Record& record)
{
    visit("workspace", record.workspace, FieldRule::Name, Presence::Required);
    visit("name", record.name, FieldRule::Name, Presence::Required);
}

template <typename Visitor, RecordOf<TopUp> Record>
void visitFields(Visitor& visit, Record& record)
{
    visit("id", record.id, FieldRule::Name, Presence::Required);
    visit("workspace", record.workspace, FieldRule::Name, Presence::Required);
    visit("budget", record.budget, FieldRule::Name, Presence::Required);
    visit("tokens", record.tokens, FieldRule::Positive, Presence::Required);
}

template <typename Visitor, RecordOf<Key> Record>
void visitFields(Visitor& visit, Record& record)
{
    visit("sha256", record.sha256, FieldRule::Sha256, Presence::Required);
    visit("workspace", record.workspace, FieldRule::Name, Presence::Required);
    visit("budget", record.budget, FieldRule::Name, Presence::Required);
}

template <typename Visitor, RecordOf<Model> Record>
void visitFields(Visitor& visit, Record& record)
{
    visit("name", record.name, FieldRule::ModelName, Presence::Required);
    visit("max_output_tokens", record.maxOutputTokens, FieldRule::Positive, Presence::Optional);
    visit("bytes_per_token", record.bytesPerToken, FieldRule::Positive, Presence::Optional);
}

template <typename Visitor, RecordOf<RoutingRule> Record>
void visitFields(Visitor& visit, Record& record)
{
    visit("name", record.name, FieldRule::Name, Presence::Required);
    visit("workspace", record.workspace, FieldRule::NameOrAny, Presence::Required);
    visit("model", record.model, FieldRule::ModelName, Presence::Required);
    visit("endpoints", record.endpoints, FieldRule::Name, Presence::Required);
}

template <typename Visitor, RecordOf<Endpoint> Record>
void visitFields(Visitor& visit, Record& record)
{
    visit("name", record.name, FieldRule::Name, Presence::Required);
    visit("kind", record.kind, FieldRule::ByType, Presence::Required);
    visit("address", record.address, FieldRule::ByType, Presence::Required);
    visit("failure_domain", record.failureDomain, FieldRule::Name, Presence::Required);
    visit("models", record.models, FieldRule::ModelName, Presence::Optional);
    visit("checks_fencing", record.checksFencing, FieldRule::ByType, Presence::Optional);
    visit("slots", record.slots, FieldRule::Slots, Presence::Optional);
}

template <typename Visitor, RecordOf<Service> Record>
void visitFields(Visitor& visit, Record& record)
{
    visit("name", record.name, FieldRule::Name, Presence::Required);
    visit("endpoints", record.endpoints, FieldRule::Name, Presence::Required);
    visit("is_repeatable", record.isRepeatable, FieldRule::ByType, Presence::Optional);
    visit("price_tokens", record.priceTokens, FieldRule::NonNegative, Presence::Optional);
}

}
