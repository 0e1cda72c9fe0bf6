#include "RelayFixture.h"

#include <algorithm>
#include <set>

using namespace RelayTest;

namespace {

// Engines that end when they begin to answer a prompt whose body is "deadly".
struct CrashFixture : Fixture {
    std::set<size_t> crashed;

    explicit CrashFixture(size_t engineCount)
        : Fixture(engineCount)
    {
        answer = [this](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason ignored;
            if (request.body == "deadly") {
                crash(request);
                co_return;
            }
            co_await writer.startStream(200, sealed(request), ignored);
            co_await writer.writeChunk("id: 1\ndata: a\n\n", ignored);
            co_await writer.finishStream(ignored);
        };
    }

    // Ends the engine that received the request: its connections break and its address refuses new ones.
    void crash(const HTTP::Request& request)
    {
        size_t index = std::stoul(HTTP::findHeader(request.headers, "Expect-Endpoint").value().substr(1));
        crashed.insert(index);
        endpoints.at(index)->closeAll();
    }

    std::optional<HTTP::Response> ask(const std::string& target, const std::string& parts, const std::string& body)
    {
        HTTP::Request request = makeRequest(target, { { "Parts", parts } });
        request.body = body;
        return call(std::move(request));
    }

    size_t deadlyArrivals() const
    {
        return static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(), [](const HTTP::Request& request) { return request.body == "deadly"; }));
    }
};

}

// Guards against a prompt part that crashes each engine taking down all engines, one request after the other, and against
// refusing sound requests that share the caller and other parts with it (BUDGET and LOST of issue 21).
Test(CrashingPrompts, partThatCrashesThreeEnginesIsRefused)
{
    for (const char* target : { "/stream/a", "/single/a", "/again/a", "/once/a" }) {
        CrashFixture fixture(8);
        for (int i = 0; i < 10; ++i) {
            std::string last = std::to_string(i);
            cr_assert_eq(fixture.ask(target, "common,sound," + last, "sound")->status, 200, "sound request before %d at %s", i, target);
            std::optional<HTTP::Response> response = fixture.ask(target, "common,deadly," + last, "deadly");
            bool isRefused = response && response->status == 503;
            if (fixture.crashed.size() < 3)
                continue;
            cr_assert(isRefused || fixture.deadlyArrivals() == 3, "request %d at %s", i, target);
            if (isRefused) {
                cr_assert(response->body.find("prompt_quarantined") != std::string::npos);
                cr_assert(response->body.find("\"ran\":\"not_run\"") != std::string::npos);
                cr_assert(HTTP::findHeader(response->headers, "Retry-After").has_value());
            }
        }
        cr_assert_eq(fixture.crashed.size(), 3, "%zu engines crashed at %s", fixture.crashed.size(), target);
        cr_assert_eq(fixture.deadlyArrivals(), 3);
    }
}
