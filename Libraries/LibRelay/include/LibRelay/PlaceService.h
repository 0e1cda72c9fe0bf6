#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibRelay/Endpoint.h"
#include "LibRelay/PlaceTable.h"
#include <functional>
#include <optional>
#include <string>

namespace Relay {

// Asks for a place at a brittle endpoint, or returns one.
struct PlaceRequest {
    std::string endpoint;
    std::string host;
    uint64_t number { 0 };
    bool isReturn { false };
    // Of a request for a place: what the endpoint runs at once, and how long the place may be held.
    int64_t slots { 0 };
    int64_t holdMs { 0 };
    // Of a return: what the endpoint has named, if it rejected the request.
    std::optional<double> maxRejections;
    bool operator==(const PlaceRequest&) const = default;
};

// Messages are encoded as CBOR. Decoding a malformed one fails with a reason of kind Invalid.
std::string encodePlaceRequest(const PlaceRequest&);
std::optional<PlaceRequest> decodePlaceRequest(const std::string& bytes, Core::Reason&);
std::string encodePlaceReply(bool isGranted);
std::optional<bool> decodePlaceReply(const std::string& bytes, Core::Reason&);

struct PlaceHooks {
    // The daemon that assigns the places of an endpoint, whether it answers or not; empty if it is this one.
    std::function<std::optional<Core::Address>(const std::string& endpoint)> issuerOf;
    // Whether this daemon may assign the places of an endpoint now.
    std::function<bool(const std::string& endpoint)> isIssuer;
    // Calls the issuer. Empty if it does not answer or does not assign places now.
    std::function<Core::Task<std::optional<bool>>(Core::Address, PlaceRequest, Core::Reason&)> call;
    // Number of daemons, including this one; 0 before the list of daemons has been read.
    std::function<size_t()> daemons;
    // Requests of this daemon in progress at the endpoint.
    std::function<size_t(const std::string& endpoint)> inFlight;
};

// Assigns places at brittle endpoints for all daemons together: one daemon, chosen by the list of daemons, counts the requests in
// progress at an endpoint. A daemon that does not reach it uses a part of the endpoint's slots of its own, which all such daemons
// together do not exceed.
class PlaceService {
public:
    using TimePoint = Core::SteadyClock::time_point;

    PlaceService(std::string host, PlaceHooks);

    // Takes a place for one request until it is returned. The number names it. Empty if there is none.
    Core::Task<std::optional<uint64_t>> acquire(Endpoint, Core::Deadline);

    // Returns a place.
    Core::Task<void> giveBack(std::string endpoint, uint64_t number, std::optional<double> maxRejections);

    // Answers another daemon. Empty if this daemon does not assign the endpoint's places now.
    std::optional<bool> serve(const PlaceRequest&, TimePoint now);

    // Part of an endpoint's slots that all daemons use without the issuer.
    static constexpr double ownSharesFraction = 0.25;

private:
    // Whether one more request fits into this daemon's own share.
    bool fitsOwnShare(const Endpoint&) const;

    std::string m_host;
    PlaceHooks m_hooks;
    PlaceTable m_places;
    // Random, so that a restarted process does not use the numbers of its predecessor.
    uint64_t m_lastNumber;
};

}
