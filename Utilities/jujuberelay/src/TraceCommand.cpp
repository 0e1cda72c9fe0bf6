#include "OperatorClient.h"
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <map>
#include <nlohmann/json.hpp>

DEFINE_string(trace_file, "", "trace: the trace_file of a daemon's settings");

using nlohmann::json;

namespace Commands {

namespace {

struct TraceSpan {
    std::string id;
    std::string parentId;
    std::string traceId;
    std::string name;
    std::string host;
    int64_t startNs { 0 };
    int64_t endNs { 0 };
    std::map<std::string, std::string> attributes;
    std::string error;
};

using Children = std::map<std::string, std::vector<const TraceSpan*>>;

std::map<std::string, std::string> readAttributes(const json& owner)
{
    std::map<std::string, std::string> attributes;
    for (const json& attribute : memberList(owner, "attributes")) {
        json value = attribute.value("value", json::object());
        attributes[memberText(attribute, "key")] = value.contains("stringValue") ? memberText(value, "stringValue") : memberText(value, "intValue");
    }
    return attributes;
}

int64_t numberOf(const json& span, const char* name)
{
    return std::strtoll(memberText(span, name).c_str(), nullptr, 10);
}

TraceSpan readSpan(const json& span, const std::string& host)
{
    TraceSpan result;
    result.id = memberText(span, "spanId");
    result.parentId = memberText(span, "parentSpanId");
    result.traceId = memberText(span, "traceId");
    result.name = memberText(span, "name");
    result.host = host;
    result.startNs = numberOf(span, "startTimeUnixNano");
    result.endNs = numberOf(span, "endTimeUnixNano");
    result.attributes = readAttributes(span);
    if (span.contains("status"))
        result.error = memberText(span["status"], "message");
    return result;
}

// Adds the spans of the request from one line of the file. Throws json::exception if the line is not OTLP.
void addSpans(const json& line, const std::string& request, std::map<std::string, TraceSpan>& spans)
{
    for (const json& resource : line.at("resourceSpans")) {
        std::string host = readAttributes(resource.at("resource"))["service.instance.id"];
        for (const json& scope : resource.at("scopeSpans")) {
            for (const json& item : scope.at("spans")) {
                TraceSpan span = readSpan(item, host);
                if (span.attributes["request.id"] == request)
                    spans.insert_or_assign(span.id, std::move(span));
            }
        }
    }
}

// Skips and counts malformed lines, such as an incomplete line written by a daemon that was killed.
std::map<std::string, TraceSpan> readSpans(std::ifstream& file, const std::string& request)
{
    std::map<std::string, TraceSpan> spans;
    std::string line;
    size_t skipped = 0;
    while (std::getline(file, line)) {
        try {
            addSpans(json::parse(line), request, spans);
        } catch (const json::exception&) {
            ++skipped;
        }
    }
    if (skipped > 0)
        std::fprintf(stderr, "jujuberelay: %s: %zu lines are not trace records and were skipped\n", FLAGS_trace_file.c_str(), skipped);
    return spans;
}

// Groups the spans by parent, sorted by start time. The key "" holds the spans whose parent is not in the trace.
Children groupByParent(const std::map<std::string, TraceSpan>& spans)
{
    Children children;
    for (const std::pair<const std::string, TraceSpan>& item : spans)
        children[spans.contains(item.second.parentId) ? item.second.parentId : ""].push_back(&item.second);
    for (std::pair<const std::string, std::vector<const TraceSpan*>>& item : children)
        std::sort(item.second.begin(), item.second.end(), [](const TraceSpan* a, const TraceSpan* b) { return a->startNs < b->startNs; });
    return children;
}

std::string millisecondsText(int64_t nanoseconds)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(nanoseconds) / 1e6);
    return text;
}

std::string detailsOf(const TraceSpan& span)
{
    std::string text;
    for (const std::pair<const std::string, std::string>& attribute : span.attributes) {
        if (attribute.first != "request.id")
            text += (text.empty() ? "" : " ") + attribute.first + "=" + attribute.second;
    }
    if (!span.error.empty())
        text += (text.empty() ? "error: " : " error: ") + span.error;
    return text;
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is that of the trace, and each span has one parent.
void addRows(const Children& children, const std::string& parent, size_t depth, int64_t originNs, std::vector<std::vector<std::string>>& rows)
{
    Children::const_iterator found = children.find(parent);
    if (found == children.end())
        return;
    for (const TraceSpan* span : found->second) {
        rows.push_back({ std::string(depth * 2, ' ') + span->name, span->host, millisecondsText(span->startNs - originNs), millisecondsText(span->endNs - span->startNs), detailsOf(*span) });
        addRows(children, span->id, depth + 1, originNs, rows);
    }
}

// NOLINTNEXTLINE(misc-no-recursion): as addRows.
json treeJson(const Children& children, const std::string& parent)
{
    json list = json::array();
    Children::const_iterator found = children.find(parent);
    if (found == children.end())
        return list;
    for (const TraceSpan* span : found->second) {
        json item = { { "name", span->name }, { "host", span->host }, { "trace_id", span->traceId }, { "span_id", span->id },
            { "start_unix_ns", span->startNs }, { "duration_ns", span->endNs - span->startNs }, { "attributes", span->attributes } };
        if (!span->error.empty())
            item["error"] = span->error;
        item["children"] = treeJson(children, span->id);
        list.push_back(std::move(item));
    }
    return list;
}

}

int trace(const Arguments& arguments)
{
    int exitCode = Success;
    std::optional<bool> isJson = isJsonOutput(exitCode);
    if (!isJson)
        return exitCode;
    if (arguments.size() != 2 || FLAGS_trace_file.empty()) {
        std::fprintf(stderr, "usage: jujuberelay trace REQUEST --trace_file=FILE [--output=table|json]\n");
        return InvalidInput;
    }
    std::ifstream file(FLAGS_trace_file);
    if (!file) {
        std::fprintf(stderr, "jujuberelay: %s: the file cannot be opened\n", FLAGS_trace_file.c_str());
        return InvalidInput;
    }
    std::map<std::string, TraceSpan> spans = readSpans(file, arguments[1]);
    if (spans.empty()) {
        std::fprintf(stderr, "jujuberelay: %s: no spans found for request %s\n", FLAGS_trace_file.c_str(), arguments[1].c_str());
        return InvalidInput;
    }
    Children children = groupByParent(spans);
    if (*isJson) {
        std::printf("%s\n", json { { "request", arguments[1] }, { "spans", treeJson(children, "") } }.dump(2).c_str());
        return Success;
    }
    std::vector<std::vector<std::string>> rows { { "SPAN", "HOST", "START MS", "DURATION MS", "DETAILS" } };
    // There is no root span if the parent references are cyclic.
    int64_t originNs = children[""].empty() ? 0 : children[""].front()->startNs;
    addRows(children, "", 0, originNs, rows);
    printTable(rows);
    return Success;
}

}
