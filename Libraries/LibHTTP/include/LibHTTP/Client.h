#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibHTTP/Message.h"
#include <functional>
#include <memory>
#include <optional>

namespace HTTP {

// The response of a request whose body is read in pieces.
// Destroying it before the end of the body closes the connection, which is never reused then.
class ResponseStream {
public:
    virtual ~ResponseStream() = default;

    virtual unsigned status() const = 0;
    virtual const Headers& headers() const = 0;

    // The next piece of the body; empty at its proper end. Failure kind OutcomeUnknown when the body broke off
    // and TimedOut when the deadline passed.
    virtual Core::Task<std::optional<std::string>> readSome(Core::Deadline, Core::Reason&) = 0;

    // Reads the rest of the body, at most maxBytes.
    Core::Task<std::optional<std::string>> readAll(size_t maxBytes, Core::Deadline, Core::Reason&);
};

enum class ConnectionUse {
    // Takes an idle connection where one is open.
    Pooled,
    // Always connects, so that a stale connection cannot make the outcome unknown.
    Fresh,
};

// Ends a call from another task by closing the connection that the call uses.
class Cancellation {
public:
    void cancel();
    bool isCancelled() const { return m_isCancelled; }

    // Called by the client while a connection serves the call; an empty function detaches it.
    void attach(std::function<void()> closeConnection);

private:
    std::function<void()> m_closeConnection;
    bool m_isCancelled { false };
};

// Called in the same step that hands a request's bytes to the socket; returning false fails with Refused and sends
// nothing.
using SendGuard = std::function<bool()>;

struct CallOptions {
    ConnectionUse use { ConnectionUse::Pooled };
    SendGuard guard {};
    std::shared_ptr<Cancellation> cancellation {};
    // False for a response that belongs to another request: it is discarded and the next one on the connection is read.
    std::function<bool(unsigned status, const Headers&)> isExpected {};
    // Bounds the time to connect where it is earlier than the call's deadline.
    Core::Deadline connectDeadline { Core::Deadline::never() };
    // Sends the request again on a new connection when a reused one ends before any byte of a response.
    bool mayResend { false };
};

// An HTTP/1.1 client with a pool of idle connections for each address.
class Client {
public:
    explicit Client(const boost::asio::any_io_executor&);
    ~Client();

    // Sends the request and reads the response's headers. Failure kind Unavailable means that nothing was sent,
    // OutcomeUnknown that the request may have reached the peer.
    Core::Task<std::optional<std::unique_ptr<ResponseStream>>> open(
        Core::Address, Request, Core::Deadline, Core::Reason&, ConnectionUse = ConnectionUse::Pooled);

    // Sends the request and reads the whole response.
    Core::Task<std::optional<Response>> roundTrip(
        Core::Address, Request, Core::Deadline, Core::Reason&, ConnectionUse = ConnectionUse::Pooled);

    // As open, with the options. A `Host` header of the request replaces the address.
    Core::Task<std::optional<std::unique_ptr<ResponseStream>>> call(
        Core::Address, Request, Core::Deadline, CallOptions, Core::Reason&);

    // Connections opened so far.
    uint64_t connectionsOpened() const;

private:
    struct Pool;
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<Pool> m_pool;
};

}
