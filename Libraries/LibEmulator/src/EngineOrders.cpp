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

static const char* subjectOf(const std::string& order)
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
    const char* subject = subjectOf(order);
    if (!subject)
        return errorReply(400, "bad_request", "order: load_model, load_adapter or set_role is required");
    std::string name = textField(json, subject);
    if (name.empty())
        return errorReply(400, "bad_request", std::string(subject) + ": a name is required");
    if (!json.contains("fencing") || !json["fencing"].is_number_integer())
        return errorReply(400, "bad_request", "fencing: an integer is required");
    int64_t fencing = json["fencing"].get<int64_t>();
    if (fencing < m_newestFencing) {
        ++m_late;
        if (m_checksFencing)
            return errorReply(409, "old_fencing", "the newest fencing number is " + std::to_string(m_newestFencing));
    }
    m_newestFencing = std::max(m_newestFencing, fencing);
    ++m_applied;
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
    return { { "models", m_models }, { "adapters", m_adapters }, { "role", m_role }, { "fencing", m_newestFencing },
        { "applied", m_applied }, { "late", m_late } };
}

}
