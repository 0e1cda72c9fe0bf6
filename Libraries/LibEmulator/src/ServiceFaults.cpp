#include "LibEmulator/ServiceFaults.h"

#include "FaultFields.h"

namespace Emulator {

std::optional<ServiceFaults> ServiceFaults::parse(std::string_view json, ServiceFaults current, Core::Reason& reason)
{
    FaultFields fields(json);
    fields.read("close_after_run", current.closeAfterRun);
    fields.read("close_before_run", current.closeBeforeRun);
    fields.read("refuse", current.refuse);
    fields.read("delay_ms", current.delayMs);
    if (!fields.finish(reason))
        return std::nullopt;
    return current;
}

}
