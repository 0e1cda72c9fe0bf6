#pragma once

#include "LibHTTP/ResponseWriter.h"

namespace Caller {

// Adds the X-Request-Id header to the response, so that callers and operators can refer to the request.
class RequestIdWriter final : public HTTP::ResponseWriter {
public:
    RequestIdWriter(HTTP::ResponseWriter& writer, std::string requestId)
        : m_writer(writer)
        , m_requestId(std::move(requestId))
    {
    }

    Core::Task<bool> send(HTTP::Response response, Core::Reason& reason) override
    {
        response.headers.push_back({ "X-Request-Id", m_requestId });
        co_return co_await m_writer.send(std::move(response), reason);
    }

    Core::Task<bool> startStream(unsigned status, HTTP::Headers headers, Core::Reason& reason) override
    {
        headers.push_back({ "X-Request-Id", m_requestId });
        co_return co_await m_writer.startStream(status, std::move(headers), reason);
    }

    Core::Task<bool> writeChunk(std::string_view bytes, Core::Reason& reason) override { return m_writer.writeChunk(bytes, reason); }
    Core::Task<bool> finishStream(Core::Reason& reason) override { return m_writer.finishStream(reason); }
    void abort() override { m_writer.abort(); }
    bool hasStarted() const override { return m_writer.hasStarted(); }

private:
    HTTP::ResponseWriter& m_writer;
    std::string m_requestId;
};

}
