#include "FaultFields.h"

namespace Emulator {

FaultFields::FaultFields(std::string_view json)
    : m_fields(nlohmann::json::parse(json, nullptr, false))
{
    if (!m_fields.is_object())
        m_fault = "the body is not a JSON object";
}

void FaultFields::read(const char* name, bool& target)
{
    if (!m_fault.empty() || !m_fields.contains(name))
        return;
    if (m_fields[name].is_boolean())
        target = m_fields[name].get<bool>();
    else
        m_fault = std::string(name) + ": true or false is required";
    m_fields.erase(name);
}

void FaultFields::read(const char* name, int64_t& target)
{
    if (!m_fault.empty() || !m_fields.contains(name))
        return;
    if (m_fields[name].is_number_integer())
        target = m_fields[name].get<int64_t>();
    else
        m_fault = std::string(name) + ": an integer is required";
    m_fields.erase(name);
}

bool FaultFields::finish(Core::Reason& reason)
{
    if (m_fault.empty() && !m_fields.empty())
        m_fault = m_fields.begin().key() + ": no such field";
    if (m_fault.empty())
        return true;
    reason = { Core::FailureKind::Invalid, "parse faults", "caller", m_fault };
    return false;
}

}
