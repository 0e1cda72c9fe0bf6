#pragma once

#include "LibCore/Async.h"
#include "LibCore/Deadline.h"
#include "LibCore/Reason.h"
#include "LibHTTP/Message.h"
#include <functional>
#include <optional>

namespace HTTP {

// Writes the response to one request. The tasks return false and set the reason if the client has disconnected.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    // Sends a complete response.
    virtual Core::Task<bool> send(Response, Core::Reason&) = 0;

    // Sends the status line and headers of a chunked response.
    virtual Core::Task<bool> startStream(unsigned status, Headers, Core::Reason&) = 0;

    // Sends one chunk. The bytes must stay valid until the task completes.
    virtual Core::Task<bool> writeChunk(std::string_view, Core::Reason&) = 0;

    // Sends the final chunk. Without it the client detects that the body was truncated.
    virtual Core::Task<bool> finishStream(Core::Reason&) = 0;

    // Registers a function that is called once if the client closes the connection before the response is complete.
    virtual void onClientDisconnect(std::function<void()>) { }

    // False if the client has closed the connection already, which onClientDisconnect() may report only later.
    virtual bool isClientConnected() const { return true; }

    // When the first byte of the request was read; empty if the writer does not serve a connection.
    virtual std::optional<Core::SteadyClock::time_point> requestStartedAt() const { return std::nullopt; }

    // Closes the connection without completing the response.
    virtual void abort() = 0;

    // Closes the connection if the response has started and is still incomplete at the deadline, for example because the client
    // does not read. A response that starts later has 1 s to be sent.
    virtual void abortAt(Core::Deadline) { }

    // True once a response, or the headers of a chunked response, have started to be sent.
    virtual bool hasStarted() const = 0;
};

}
