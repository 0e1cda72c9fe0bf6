#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibHTTP/Message.h"
#include <functional>

namespace HTTP {

// Writes the one response of a request. Each function returns false with a reason when the client is gone.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    // Sends a whole response.
    virtual Core::Task<bool> send(Response, Core::Reason&) = 0;

    // Sends the status line and headers of a chunked response.
    virtual Core::Task<bool> startStream(unsigned status, Headers, Core::Reason&) = 0;

    // Sends one chunk. The bytes must stay valid until the task completes.
    virtual Core::Task<bool> writeChunk(std::string_view, Core::Reason&) = 0;

    // Sends the final chunk. Without it the client sees that the stream broke off.
    virtual Core::Task<bool> finishStream(Core::Reason&) = 0;

    // Calls the function once if the client closes the connection before the response is complete.
    virtual void onClientGone(std::function<void()>) { }

    // Closes the connection without completing the response.
    virtual void abort() = 0;

    // True once a response or the headers of a stream have been started.
    virtual bool hasStarted() const = 0;
};

}
