#pragma once

#include "LibCore/Reason.h"
#include "LibEmulator/FaultCount.h"
#include <nlohmann/json.hpp>
#include <string_view>

namespace Emulator {

// Reads the optional fields of a JSON object and reports the first one that is unknown or of the wrong type.
class FaultFields {
public:
    explicit FaultFields(std::string_view json);

    void read(const char* name, bool& target);
    void read(const char* name, int64_t& target);
    void read(const char* name, FaultCount& target) { read(name, target.remaining); }

    // Returns whether the object was valid and all of its fields were read.
    bool finish(Core::Reason&);

private:
    nlohmann::json m_fields;
    std::string m_error;
};

}
