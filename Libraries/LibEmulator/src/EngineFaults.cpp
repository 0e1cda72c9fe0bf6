#include "LibEmulator/EngineFaults.h"

#include "FaultFields.h"

namespace Emulator {

std::optional<EngineFaults> EngineFaults::parse(std::string_view json, EngineFaults current, Core::Reason& reason)
{
    FaultFields fields(json);
    fields.read("stop_answering", current.stopAnswering);
    fields.read("break_streams", current.breakStreams);
    fields.read("break_after_chunks", current.breakAfterChunks);
    fields.read("lose_broken_streams", current.loseBrokenStreams);
    fields.read("refuse", current.refuse);
    fields.read("delay_ms", current.delayMs);
    if (!fields.finish(reason))
        return std::nullopt;
    return current;
}

}
