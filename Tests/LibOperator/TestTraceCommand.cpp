#include <criterion/criterion.h>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

using nlohmann::json;

namespace {

struct TraceFile {
    std::string path;

    TraceFile()
    {
        char pattern[] = "/tmp/jujuberelay-trace-XXXXXX";
        close(mkstemp(pattern));
        path = pattern;
    }
    ~TraceFile() { unlink(path.c_str()); }

    // Appends a span in the format of the file exporter.
    void add(const std::string& request, const std::string& name, const std::string& id, const std::string& parent, int startMs, int endMs) const
    {
        json span = { { "traceId", "1" }, { "spanId", id }, { "name", name }, { "startTimeUnixNano", std::to_string(startMs * 1'000'000LL) }, { "endTimeUnixNano", std::to_string(endMs * 1'000'000LL) } };
        if (!parent.empty())
            span["parentSpanId"] = parent;
        span["attributes"] = json::array({ { { "key", "request.id" }, { "value", { { "stringValue", request } } } } });
        json line;
        line["resourceSpans"][0]["resource"]["attributes"] = json::array({ { { "key", "service.instance.id" }, { "value", { { "stringValue", "entry-1" } } } } });
        line["resourceSpans"][0]["scopeSpans"][0]["spans"] = json::array({ span });
        std::ofstream(path, std::ios::app) << line.dump() << "\n";
    }

    std::string run(const std::string& arguments, int& exitCode) const
    {
        std::string command = std::string(JUJUBERELAY_PROGRAM) + " trace " + arguments + " --trace_file=" + path + " 2>/dev/null";
        FILE* pipe = popen(command.c_str(), "r");
        std::string output;
        char buffer[4096];
        while (size_t size = fread(buffer, 1, sizeof(buffer), pipe))
            output.append(buffer, size);
        exitCode = WEXITSTATUS(pclose(pipe));
        return output;
    }
};

}

// Guards against spans of other requests, wrong parents, and a truncated last line that makes the file unreadable.
Test(TraceCommand, printsSpansOfOneRequest)
{
    TraceFile file;
    // Child spans end, and are therefore written, before their parent.
    file.add("r1", "queue", "c", "a", 13, 14);
    file.add("r1", "budget", "b", "a", 11, 13);
    file.add("r2", "budget", "e", "d", 11, 13);
    file.add("r1", "caller", "a", "", 10, 30);
    std::ofstream(file.path, std::ios::app) << R"({"resourceSpans":[{"re)";
    int exitCode = -1;
    json tree = json::parse(file.run("r1 --output=json", exitCode), nullptr, false);
    cr_assert_eq(exitCode, 0);
    cr_assert_eq(tree["spans"].size(), 1u);
    cr_assert_eq(tree["spans"][0]["duration_ns"], 20'000'000);
    json children = tree["spans"][0]["children"];
    cr_assert_eq(children.size(), 2u);
    cr_assert_eq(children[0]["name"], "budget");
    cr_assert_eq(children[1]["name"], "queue");
    std::string table = file.run("r1", exitCode);
    cr_assert(table.find("\n  budget") != std::string::npos && table.find("20.000") != std::string::npos, "%s", table.c_str());
}

// An unknown request must be reported as an error, not as an empty trace.
Test(TraceCommand, unknownRequestIsAnError)
{
    TraceFile file;
    file.add("r1", "caller", "a", "", 10, 30);
    int exitCode = -1;
    cr_assert_eq(file.run("r2", exitCode), "");
    cr_assert_eq(exitCode, 2);
}
