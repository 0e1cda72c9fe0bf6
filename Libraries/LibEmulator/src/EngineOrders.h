#pragma once

#include "LibHTTP/Message.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace Emulator {

// The engine's models, adapters and role, and the orders that change them.
class EngineOrders {
public:
    EngineOrders(std::set<std::string> models, bool checksFencing);

    // Applies {"order": "load_model"|"load_adapter"|"set_role", "model"|"adapter"|"role": NAME, "fencing": NUMBER}.
    // Answers 409 to an older fencing number than the newest one seen where the engine checks them.
    HTTP::Response apply(const std::string& body);

    bool serves(const std::string& model) const { return m_models.empty() || m_models.contains(model); }
    nlohmann::json toJson() const;

private:
    std::set<std::string> m_models;
    std::set<std::string> m_adapters;
    std::string m_role { "mixed" };
    bool m_checksFencing;
    int64_t m_newestFencing { 0 };
    int64_t m_applied { 0 };
    // Orders with an older fencing number than the newest one seen.
    int64_t m_late { 0 };
};

}
