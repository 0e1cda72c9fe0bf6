#include "FaultFields.h"

namespace Emulator {

FaultFields::FaultFields(std::string_view json)
    : m_fields(nlohmann::json::parse(json, nullptr, false))
{
    if (!m_fields.is_object())
        m_error = "the body is not a JSON object";
}

void FaultFields::read(const char* name, bool& target)
{
    if (!m_error.empty() || !m_fields.contains(name))
        return;
    if (m_fields[name].is_boolean())
        target = m_fields[name].get<bool>();
    else
        m_error = std::string(name) + ": true or false is required";
    m_fields.erase(name);
}

void FaultFields::read(const char* name, int64_t& target)
{
    if (!m_error.empty() || !m_fields.contains(name))
        return;
    if (m_fields[name].is_number_integer())
        target = m_fields[name].get<int64_t>();
    else
        m_error = std::string(name) + ": an integer is required";
    m_fields.erase(name);
}

bool FaultFields::finish(Core::Reason& reason)
{
    if (m_error.empty() && !m_fields.empty())
        m_error = m_fields.begin().key() + ": unknown field";
    if (m_error.empty())
        return true;
    reason = { Core::FailureKind::Invalid, "parse faults", "caller", m_error };
    return false;
}

}
