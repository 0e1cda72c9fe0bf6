#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Peer {

// Identifies a daemon. The identity of a peer has been authenticated by the handshake.
struct Identity {
    std::string host;
    uint64_t incarnation { 0 };
    std::string failureDomain;
    bool operator==(const Identity&) const = default;
};

struct Settings {
    Identity self;
    Core::Address listenAddress;
    // Pre-shared key of all daemons, used to authenticate links.
    std::string key;
    // PEM files for mutual TLS. Links are unencrypted if all three are empty.
    std::string certificateFile;
    std::string privateKeyFile;
    std::string authorityFile;
};

struct Counters {
    uint64_t bytesSent { 0 };
    uint64_t bytesReceived { 0 };
    uint64_t messagesSent { 0 };
    uint64_t messagesReceived { 0 };
    uint64_t linksRefused { 0 };
    bool operator==(const Counters&) const = default;
};

// Manages authenticated links to other daemons, which are opened on demand and closed when idle. A message consists of
// a type and an opaque body; callers encode the body as CBOR.
class Network {
public:
    // Handles a call and returns the body of the answer. On nullopt, the caller gets a Refused failure with the
    // message of the reason.
    using CallHandler = std::function<Core::Task<std::optional<std::string>>(Identity from, std::string body, Core::Reason&)>;
    using NoticeHandler = std::function<void(const Identity& from, std::string body)>;

    Network(const boost::asio::any_io_executor&, Settings);
    ~Network();

    // Binds the listen address, failing if it is in use, and starts accepting links. Returns the bound address.
    std::optional<Core::Address> listen(Core::Reason&);

    void onCall(const std::string& type, CallHandler);
    void onNotice(const std::string& type, NoticeHandler);

    // Sends a call and waits for its answer. On failure, the kind of the reason is Unavailable if nothing was sent,
    // TimedOut or OutcomeUnknown if the peer may have executed the call, and Refused if the peer's handler failed.
    Core::Task<std::optional<std::string>> call(Core::Address, std::string type, std::string body, Core::Deadline, Core::Reason&);

    // Sends a one-way message. It is dropped if no link can be opened.
    void notify(const Core::Address&, const std::string& type, std::string body);

    // Drops all traffic to and from the given hosts. Used for fault injection.
    void setBlockedHosts(std::vector<std::string> hosts);

    Counters counters() const;
    void close();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
