#include "Fields.h"
#include "LibIntent/Note.h"
#include "Sections.h"
#include <yaml-cpp/yaml.h>

namespace Intent {

namespace {

// Visitor for visitFields that emits the fields of a record as YAML.
class FieldPrinter {
public:
    explicit FieldPrinter(YAML::Emitter& emitter)
        : m_emitter(emitter)
    {
    }

    template <typename Value>
    void operator()(const char* name, const Value& value, FieldRule, Presence)
    {
        m_emitter << YAML::Key << name << YAML::Value;
        print(value);
    }

private:
    void print(const std::string& value) { m_emitter << value; }
    void print(int value) { m_emitter << value; }
    void print(int64_t value) { m_emitter << std::to_string(value); }
    void print(bool value) { m_emitter << (value ? "true" : "false"); }
    void print(EndpointKind value) { m_emitter << (value == EndpointKind::Engine ? "engine" : "service"); }
    void print(const Core::Address& value) { m_emitter << (value.ip.find(':') == std::string::npos ? value.text() : "[" + value.ip + "]:" + std::to_string(value.port)); }
    void print(const std::vector<std::string>& values)
    {
        m_emitter << YAML::BeginSeq;
        for (const std::string& value : values)
            m_emitter << value;
        m_emitter << YAML::EndSeq;
    }

    YAML::Emitter& m_emitter;
};

}

static void printRecords(YAML::Emitter& emitter, const char* part, const NoteRecords& records)
{
    if (records == NoteRecords {})
        return;
    emitter << YAML::Key << part << YAML::Value << YAML::BeginMap;
    forEachSection([&](const auto& section) {
        const auto& list = records.*section.inNote;
        if (list.empty())
            return;
        emitter << YAML::Key << section.name << YAML::Value << YAML::BeginSeq;
        for (const auto& record : list) {
            emitter << YAML::Flow << YAML::BeginMap;
            FieldPrinter printer(emitter);
            visitFields(printer, record);
            emitter << YAML::EndMap;
        }
        emitter << YAML::EndSeq;
    });
    emitter << YAML::EndMap;
}

static void printNames(YAML::Emitter& emitter, const char* section, const std::vector<std::string>& names)
{
    if (names.empty())
        return;
    emitter << YAML::Key << section << YAML::Value << YAML::BeginSeq;
    for (const std::string& name : names)
        emitter << name;
    emitter << YAML::EndSeq;
}

static void printWithdrawals(YAML::Emitter& emitter, const NoteWithdrawals& withdrawals)
{
    if (withdrawals == NoteWithdrawals {})
        return;
    emitter << YAML::Key << "withdrawn" << YAML::Value << YAML::BeginMap;
    forEachSection([&](const auto& section) {
        if (!section.isAppendOnly())
            printNames(emitter, section.name, withdrawals.*section.withdrawn);
    });
    printNames(emitter, "hosts", withdrawals.hosts);
    emitter << YAML::EndMap;
}

std::string printNote(const Note& note)
{
    YAML::Emitter emitter;
    emitter << YAML::BeginMap << YAML::Key << "note" << YAML::Value << YAML::BeginMap;
    emitter << YAML::Key << "from_generation" << YAML::Value << std::to_string(note.fromGeneration);
    emitter << YAML::Key << "author" << YAML::Value << YAML::DoubleQuoted << note.author;
    emitter << YAML::Key << "reason" << YAML::Value << YAML::DoubleQuoted << note.reason;
    emitter << YAML::EndMap;
    printRecords(emitter, "added", note.added);
    printRecords(emitter, "changed", note.changed);
    printWithdrawals(emitter, note.withdrawn);
    emitter << YAML::EndMap;
    return std::string(emitter.c_str()) + "\n";
}

bool Note::isEmpty() const
{
    return added == NoteRecords {} && changed == NoteRecords {} && withdrawn == NoteWithdrawals {};
}

std::string NoteError::text() const
{
    std::string linePrefix = line > 0 ? "line " + std::to_string(line) + ": " : "";
    return linePrefix + field + ": " + reason;
}

}
