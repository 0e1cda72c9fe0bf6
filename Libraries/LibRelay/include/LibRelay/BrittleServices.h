#pragma once

#include "LibRelay/Endpoint.h"
#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace Relay {

// The services whose endpoints say in their answers that they fall over if they have to reject more than some requests in a second.
class BrittleServices {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // What an answer said is trusted for this long. A brittle endpoint says so in each answer.
    static constexpr std::chrono::seconds memory { 10 };

    // Records what an endpoint's answer says. Returns whether the service has become brittle or has ceased to be.
    bool record(const Endpoint&, std::optional<double> maxRejections, TimePoint now);

    // Rejections a second above which an endpoint of the service falls over; empty if none of them has said so lately. Those that have
    // not answered yet are taken to be like the others.
    std::optional<double> maxRejections(const std::string& service, TimePoint now) const;

private:
    struct Statement {
        double maxRejections { 0 };
        TimePoint saidAt {};
    };

    // By service and endpoint id.
    std::map<std::string, std::map<std::string, Statement>> m_services;
};

}
