#pragma once

#include "LibHTTP/Message.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace Emulator {

// Holds the engine's models, adapters and role, and applies the orders that change them.
class EngineOrders {
public:
    EngineOrders(std::set<std::string> models, bool checksFencing);

    // Applies {"order": "load_model"|"load_adapter"|"set_role", "model"|"adapter"|"role": NAME, "fencing": NUMBER}.
    // Responds with 409 to a fencing number below the highest one seen if the engine checks fencing numbers.
    HTTP::Response apply(const std::string& body);

    bool serves(const std::string& model) const { return m_models.empty() || m_models.contains(model); }
    nlohmann::json toJson() const;

private:
    std::set<std::string> m_models;
    std::set<std::string> m_adapters;
    std::string m_role { "mixed" };
    bool m_checksFencing;
    int64_t m_highestFencing { 0 };
    int64_t m_appliedOrders { 0 };
    // Number of received orders with a fencing number below the highest one seen.
    int64_t m_outdatedOrders { 0 };
};

}
