#pragma once

#include "LibEmulator/AnswerText.h"
#include "LibEmulator/EngineEmulator.h"
#include "LibHTTP/Client.h"
#include "RunTask.h"
#include <nlohmann/json.hpp>

// An engine emulator with short delays and a client that share an io_context.
struct EngineFixture {
    using Answer = std::optional<HTTP::Response>;

    boost::asio::io_context context;
    Emulator::EngineEmulator engine;
    HTTP::Client client { context.get_executor() };
    Core::Address address;
    Core::Reason reason;

    static Emulator::EngineSettings fastSettings()
    {
        Emulator::EngineSettings settings;
        settings.prefillMsPer1000Tokens = 0;
        settings.timePerTokenUs = 200;
        settings.cacheEventLagMs = 0;
        settings.loadLagMs = 0;
        return settings;
    }

    explicit EngineFixture(const Emulator::EngineSettings& settings = fastSettings())
        : engine(context.get_executor(), settings)
        , address(engine.listen({ "127.0.0.1", 0 }, reason).value())
    {
    }

    static HTTP::Request post(const std::string& streamId, const std::string& prompt, int64_t maxTokens, bool isStreamed = true, int priority = 0)
    {
        nlohmann::json body = { { "model", "m" }, { "messages", { { { "role", "user" }, { "content", prompt } } } }, { "max_tokens", maxTokens }, { "stream", isStreamed } };
        return { "POST", "/v1/chat/completions",
            { { "X-Stream-Id", streamId }, { "X-Workspace", "w" }, { "X-Priority", std::to_string(priority) } }, body.dump() };
    }

    Core::Task<Answer> send(HTTP::Request request, std::chrono::milliseconds limit = std::chrono::seconds(30))
    {
        return client.roundTrip(address, std::move(request), Core::Deadline::after(limit), reason, HTTP::ConnectionUse::Fresh);
    }

    Answer call(HTTP::Request request, std::chrono::milliseconds limit = std::chrono::seconds(30))
    {
        return TestSupport::runTask(context, send(std::move(request), limit));
    }

    nlohmann::json callJson(HTTP::Request request, unsigned expectedStatus = 200)
    {
        Answer answer = call(std::move(request));
        cr_assert(answer, "%s", reason.text().c_str());
        cr_assert_eq(answer->status, expectedStatus, "status %u: %s", answer->status, answer->body.c_str());
        return nlohmann::json::parse(answer->body);
    }

    nlohmann::json counters() { return callJson({ "GET", "/control/counters", {}, "" }); }

    // Returns the concatenated chunk contents. Fails the test if a chunk has another identity or the end marker is missing.
    static std::string contentOf(const std::string& events, const std::string& streamId)
    {
        std::string content;
        size_t position = 0;
        while (events.compare(position, 14, "data: [DONE]\n\n") != 0) {
            size_t end = events.find("\n\n", position);
            cr_assert_neq(end, std::string::npos, "no end marker in: %s", events.c_str());
            nlohmann::json chunk = nlohmann::json::parse(events.substr(position + 6, end - position - 6));
            cr_assert_eq(chunk["id"].get<std::string>(), streamId);
            content += chunk["choices"][0]["delta"].value("content", "");
            position = end + 2;
        }
        return content;
    }
};
