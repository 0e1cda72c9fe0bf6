#include "FieldReader.h"
#include "Fields.h"
#include "LibIntent/Note.h"
#include "Sections.h"
#include <nlohmann/json.hpp>

namespace Intent {

namespace {

// Parses the YAML document of a note. Each function reports the errors of its part.
class NoteParser {
public:
    NoteParser(std::vector<NoteError>& errors, NoteLines& lines)
        : m_errors(errors)
        , m_lines(lines)
    {
    }

    Note parse(const YAML::Node& document)
    {
        Note note;
        if (!document.IsMap()) {
            report(document, "note", "the document must be a map with note, added, changed and withdrawn");
            return note;
        }
        reportUnknownKeys(document, "", { "note", "added", "changed", "withdrawn" });
        parseHeader(document, child(document, "note"), note);
        parseRecords(child(document, "added"), "added", note.added);
        parseRecords(child(document, "changed"), "changed", note.changed);
        parseWithdrawals(child(document, "withdrawn"), note.withdrawn);
        return note;
    }

private:
    void report(const YAML::Node& node, const std::string& field, std::string reason)
    {
        m_errors.push_back({ node.Mark().line + 1, field, std::move(reason) });
    }

    // Returns the value of the key, or a null node if the key is absent.
    static YAML::Node child(const YAML::Node& map, const std::string& key)
    {
        for (YAML::const_iterator it = map.begin(); it != map.end(); ++it) {
            if (it->first.IsScalar() && it->first.Scalar() == key)
                return it->second;
        }
        return YAML::Node(YAML::NodeType::Null);
    }

    void reportUnknownKeys(const YAML::Node& map, const std::string& prefix, const std::set<std::string>& known)
    {
        std::set<std::string> seen;
        for (YAML::const_iterator it = map.begin(); it != map.end(); ++it) {
            std::string key = it->first.IsScalar() ? it->first.Scalar() : "?";
            if (!known.contains(key))
                report(it->first, prefix + key, "is not a known field");
            else if (!seen.insert(key).second)
                report(it->first, prefix + key, "is given twice");
        }
    }

    void parseHeader(const YAML::Node& document, const YAML::Node& header, Note& note)
    {
        if (!header.IsMap())
            return report(header.IsNull() ? document : header, "note", "must be a map with from_generation, author and reason");
        reportUnknownKeys(header, "note.", { "from_generation", "author", "reason" });
        parseGeneration(header, note.fromGeneration);
        parseFreeText(header, "author", note.author);
        parseFreeText(header, "reason", note.reason);
    }

    void parseGeneration(const YAML::Node& header, uint64_t& generation)
    {
        static constexpr uint64_t maxGeneration = 9'999'999'998;
        YAML::Node node = child(header, "from_generation");
        if (node.IsNull())
            return report(header, "note.from_generation", "is missing");
        std::string text = node.IsScalar() ? node.Scalar() : "";
        std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), generation);
        if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || generation > maxGeneration)
            report(node, "note.from_generation", "must be a whole number from 0 to " + std::to_string(maxGeneration));
    }

    void parseFreeText(const YAML::Node& header, const std::string& key, std::string& value)
    {
        YAML::Node node = child(header, key);
        if (node.IsNull())
            return report(header, "note." + key, "is missing");
        if (!node.IsScalar() || node.Scalar().empty())
            return report(node, "note." + key, "must be a text that is not empty");
        value = node.Scalar();
        if (!isPrintable(value))
            report(node, "note." + key, "must be valid UTF-8 without control characters");
    }

    static bool isPrintable(const std::string& text)
    {
        for (unsigned char c : text) {
            if ((c < 0x20 && c != '\n' && c != '\t') || c == 0x7f)
                return false;
        }
        try {
            return !nlohmann::json(text).dump().empty();
        } catch (const nlohmann::json::exception&) {
            return false;
        }
    }

    void parseRecords(const YAML::Node& node, const std::string& part, NoteRecords& records)
    {
        if (node.IsNull())
            return;
        if (!node.IsMap())
            return report(node, part, "must be a map of sections");
        std::set<std::string> known;
        forEachSection([&](const auto& section) {
            known.insert(section.name);
            parseSection(child(node, section.name), part, section, records);
        });
        reportUnknownKeys(node, part + ".", known);
    }

    template <typename Record>
    void parseSection(const YAML::Node& node, const std::string& part, const Section<Record>& section, NoteRecords& records)
    {
        std::string path = part + "." + section.name;
        if (node.IsNull())
            return;
        if (!node.IsSequence())
            return report(node, path, "must be a list");
        if (part == "changed" && section.isAppendOnly())
            return report(node, path, "can only be added");
        for (size_t i = 0; i < node.size(); ++i)
            parseRecord(node[i], path, i, part == "changed", records.*section.inNote);
    }

    template <typename Record>
    void parseRecord(const YAML::Node& node, const std::string& path, size_t index, bool requireAll, std::vector<Record>& records)
    {
        std::string recordPath = path + "[" + std::to_string(index) + "]";
        if (!node.IsMap())
            return report(node, recordPath, "must be a map");
        size_t errorsBefore = m_errors.size();
        Record record;
        FieldReader reader(node, recordPath, requireAll, m_errors);
        visitFields(reader, record);
        reader.reportUnknown();
        if (m_errors.size() != errorsBefore)
            return;
        m_lines.emplace(path + "." + nameOf(record), node.Mark().line + 1);
        records.push_back(std::move(record));
    }

    void parseWithdrawals(const YAML::Node& node, NoteWithdrawals& withdrawals)
    {
        if (node.IsNull())
            return;
        if (!node.IsMap())
            return report(node, "withdrawn", "must be a map of sections");
        std::set<std::string> known { "hosts", "top_ups" };
        forEachSection([&](const auto& section) {
            if (section.isAppendOnly()) {
                if (!child(node, section.name).IsNull())
                    report(child(node, section.name), "withdrawn." + std::string(section.name), "can only be added");
                return;
            }
            known.insert(section.name);
            parseNames(child(node, section.name), section.name, withdrawals.*section.withdrawn);
        });
        parseNames(child(node, "hosts"), "hosts", withdrawals.hosts);
        reportUnknownKeys(node, "withdrawn.", known);
    }

    static bool isValidWithdrawal(const std::string& section, const std::string& name)
    {
        if (section == "keys")
            return isValidName(name, FieldRule::Sha256);
        if (section == "models")
            return isValidName(name, FieldRule::ModelName);
        if (section != "budgets")
            return isValidName(name, FieldRule::Name);
        size_t slash = name.find('/');
        return slash != std::string::npos && isValidName(name.substr(0, slash), FieldRule::Name)
            && isValidName(name.substr(slash + 1), FieldRule::Name);
    }

    void parseNames(const YAML::Node& node, const std::string& section, std::vector<std::string>& names)
    {
        std::string path = "withdrawn." + section;
        if (node.IsNull())
            return;
        if (!node.IsSequence())
            return report(node, path, "must be a list of names");
        for (size_t i = 0; i < node.size(); ++i) {
            std::string name = node[i].IsScalar() ? node[i].Scalar() : "";
            if (!isValidWithdrawal(section, name)) {
                report(node[i], path + "[" + std::to_string(i) + "]", section == "budgets" ? "must be workspace/budget" : "must be a valid name");
                continue;
            }
            m_lines.emplace(path + "." + name, node[i].Mark().line + 1);
            names.push_back(name);
        }
    }

    std::vector<NoteError>& m_errors;
    NoteLines& m_lines;
};

}

static std::optional<Note> parseText(std::string_view text, std::vector<NoteError>& errors, NoteLines& lines)
{
    size_t errorsBefore = errors.size();
    try {
        Note note = NoteParser(errors, lines).parse(YAML::Load(std::string(text)));
        if (errors.size() == errorsBefore)
            return note;
    } catch (const YAML::Exception& exception) {
        errors.push_back({ exception.mark.line + 1, "note", "is not valid YAML: " + exception.msg });
    } catch (const std::exception& exception) {
        errors.push_back({ 0, "note", std::string("is not valid YAML: ") + exception.what() });
    }
    return std::nullopt;
}

std::optional<Note> parseNote(std::string_view text, std::vector<NoteError>& errors, NoteLines* lines)
{
    if (text.size() > maxNoteBytes) {
        errors.push_back({ 1, "note", "is larger than " + std::to_string(maxNoteBytes) + " bytes" });
        return std::nullopt;
    }
    NoteLines ownLines;
    return parseText(text, errors, lines ? *lines : ownLines);
}

std::optional<Note> parseStateNote(std::string_view text, std::vector<NoteError>& errors)
{
    NoteLines lines;
    return parseText(text, errors, lines);
}

void addLines(std::vector<NoteError>& errors, const NoteLines& lines)
{
    for (NoteError& error : errors) {
        NoteLines::const_iterator found = lines.find(error.field);
        if (found == lines.end())
            found = lines.find(error.field.substr(0, error.field.rfind('.')));
        if (error.line == 0 && found != lines.end())
            error.line = found->second;
    }
}

}
