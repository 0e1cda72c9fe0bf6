#include "LibTelemetry/Exporters.h"

#include <fstream>

namespace Telemetry {

std::optional<Export> exportToFile(const std::string& path, Core::Reason& reason)
{
    auto file = std::make_shared<std::ofstream>(path, std::ios::app | std::ios::binary);
    if (!*file) {
        reason = { Core::FailureKind::Unavailable, "open trace file", path, "the file cannot be opened for appending" };
        return std::nullopt;
    }
    return [file, path](std::string json, Core::Deadline, Core::Reason& reason) -> Core::Task<bool> {
        // Errors of earlier writes, such as a full disk, may have passed.
        file->clear();
        *file << json << '\n'
              << std::flush;
        if (*file)
            co_return true;
        reason = { Core::FailureKind::Unavailable, "write spans", path, "the file cannot be written" };
        co_return false;
    };
}

Export exportByPost(HTTP::Client& client, Core::Address address, std::string target)
{
    return [&client, address, target](std::string json, Core::Deadline deadline, Core::Reason& reason) -> Core::Task<bool> {
        HTTP::Request request { "POST", target, { { "Content-Type", "application/json" } }, std::move(json) };
        std::optional<HTTP::Response> response = co_await client.roundTrip(address, std::move(request), deadline, reason);
        if (!response)
            co_return false;
        if (response->status / 100 == 2)
            co_return true;
        reason = { Core::FailureKind::Refused, "post spans", address.text(), "status " + std::to_string(response->status) };
        co_return false;
    };
}

}
