#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibRelay/RequestPacer.h"
#include <functional>
#include <map>
#include <string>

namespace Relay {

// Asks for a permit to send one request to an endpoint that has named a limit or is cold.
struct PermitRequest {
    std::string endpoint;
    // The endpoint's limit on requests a second from all daemons together.
    double perSecond { 0 };
    bool operator==(const PermitRequest&) const = default;
};

struct PermitReply {
    bool isGranted { false };
    // If it is not granted, when asking again has a prospect.
    int64_t retryAfterMs { 0 };
    bool operator==(const PermitReply&) const = default;
};

// Messages are encoded as CBOR. Decoding a malformed one fails with a reason of kind Invalid.
std::string encodePermitRequest(const PermitRequest&);
std::optional<PermitRequest> decodePermitRequest(const std::string& bytes, Core::Reason&);
std::string encodePermitReply(const PermitReply&);
std::optional<PermitReply> decodePermitReply(const std::string& bytes, Core::Reason&);

struct PermitHooks {
    // The daemon that issues the permits of an endpoint, whether it answers or not; empty if it is this one.
    std::function<std::optional<Core::Address>(const std::string& endpoint)> issuerOf;
    // Asks the issuer. Empty if it does not answer or does not issue permits now.
    std::function<Core::Task<std::optional<PermitReply>>(Core::Address, PermitRequest, Core::Reason&)> request;
    // Number of daemons, including this one; 0 before the list of daemons has been read.
    std::function<size_t()> daemons;
    // Whether the list of daemons is current enough to know each one that has been announced for the settling time.
    std::function<bool()> isFleetCurrent;
};

// Keeps the limits that endpoints name, and those of cold endpoints, for all daemons together. One daemon, chosen by the list of daemons, issues an endpoint's
// permits at the full rate. It does so only while its list is current and once its own announcement has reached all others, so that
// no two daemons issue at the same time. A daemon without an issuer that answers has a share of its own; all those shares together
// are a quarter of the limit, or less where the caller says so.
class PermitService {
public:
    using TimePoint = Core::SteadyClock::time_point;

    explicit PermitService(PermitHooks);

    // Where a reply comes from, for logs.
    struct Permit {
        PermitReply reply;
        bool isOwnShare { false };
        // The issuer was asked and did not answer in time.
        bool hasTimedOut { false };
    };

    // All daemons' own shares together are the given part of the limit.
    Core::Task<Permit> acquire(std::string endpoint, double perSecond, double ownSharesFraction = defaultOwnSharesFraction);

    // Whether this daemon issues the endpoint's permits now.
    bool isIssuer(const std::string& endpoint, TimePoint now) const;

    // Answers another daemon. Empty if this daemon does not issue the endpoint's permits now.
    std::optional<PermitReply> serve(const PermitRequest&, TimePoint now);

    // Takes a permit from this daemon's own share.
    PermitReply takeOwnShare(const PermitRequest&, TimePoint now, double ownSharesFraction = defaultOwnSharesFraction);

    // Called when this daemon's announcement has been written.
    void setAnnounced(TimePoint now) { m_settledAt = now + settlingTime; }
    // Issues no further permits to anyone.
    void stop() { m_isStopped = true; }

    // Time after which every daemon with a current list knows an announcement. Longer than a list counts as current.
    static constexpr std::chrono::milliseconds settlingTime { 6'000 };
    // A list of daemons that the store confirmed within this time is current.
    static constexpr std::chrono::milliseconds maxFleetAge { 5'500 };
    // How far ahead of its turn the issuer admits a request.
    static constexpr std::chrono::milliseconds issuerBurst { 250 };
    // Part of an endpoint's limit that all daemons without an issuer share.
    static constexpr double defaultOwnSharesFraction = 0.25;

private:
    struct OwnShare {
        RequestPacer pacer;
        TimePoint usedAt {};
    };

    PermitHooks m_hooks;
    // By endpoint id.
    std::map<std::string, RequestPacer> m_issued;
    std::map<std::string, OwnShare> m_ownShares;
    // When every other daemon knows that this one issues permits.
    TimePoint m_settledAt { TimePoint::max() };
    bool m_isStopped { false };
};

}
