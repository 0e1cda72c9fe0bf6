#include "EngineOrders.h"

#include "JsonReply.h"
#include <algorithm>

namespace Emulator {

using Json = nlohmann::json;

EngineOrders::EngineOrders(std::set<std::string> models, bool checksFencing)
    : m_models(std::move(models))
    , m_checksFencing(checksFencing)
{
}

static std::string textField(const Json& json, const char* name)
{
    return json.contains(name) && json[name].is_string() ? json[name].get<std::string>() : "";
}

static const char* nameFieldOf(const std::string& order)
{
    if (order == "load_model")
        return "model";
    if (order == "load_adapter")
        return "adapter";
    if (order == "set_role")
        return "role";
    return nullptr;
}

HTTP::Response EngineOrders::apply(const std::string& body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return errorReply(400, "bad_request", "the body is not a JSON object");
    std::string order = textField(json, "order");
    const char* nameField = nameFieldOf(order);
    if (!nameField)
        return errorReply(400, "bad_request", "order: load_model, load_adapter or set_role is required");
    std::string name = textField(json, nameField);
    if (name.empty())
        return errorReply(400, "bad_request", std::string(nameField) + ": a name is required");
    if (!json.contains("fencing") || !json["fencing"].is_number_integer())
        return errorReply(400, "bad_request", "fencing: an integer is required");
    int64_t fencing = json["fencing"].get<int64_t>();
    if (fencing < m_highestFencing) {
        ++m_outdatedOrders;
        if (m_checksFencing)
            return errorReply(409, "old_fencing", "the highest fencing number seen is " + std::to_string(m_highestFencing));
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    ++m_appliedOrders;
    if (order == "load_model")
        m_models.insert(name);
    if (order == "load_adapter")
        m_adapters.insert(name);
    if (order == "set_role")
        m_role = name;
    return jsonReply(200, toJson());
}

nlohmann::json EngineOrders::toJson() const
{
    return { { "models", m_models }, { "adapters", m_adapters }, { "role", m_role }, { "fencing", m_highestFencing },
        { "applied", m_appliedOrders }, { "late", m_outdatedOrders } };
}

}
