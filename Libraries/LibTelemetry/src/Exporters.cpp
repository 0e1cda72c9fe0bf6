#include "LibTelemetry/Exporters.h"

#include <fstream>

namespace Telemetry {

std::optional<SpanExporter> exportToFile(const std::string& path, Core::Reason& reason)
{
    auto file = std::make_shared<std::ofstream>(path, std::ios::app | std::ios::binary);
    if (!*file) {
        reason = { Core::FailureKind::Unavailable, "open trace file", path, "cannot open the file for appending" };
        return std::nullopt;
    }
    return [file, path](std::string json, Core::Deadline, Core::Reason& reason) -> Core::Task<bool> {
        // Clear errors of previous writes, since they may be transient (e.g. a full disk).
        file->clear();
        *file << json << '\n'
              << std::flush;
        if (*file)
            co_return true;
        reason = { Core::FailureKind::Unavailable, "write spans", path, "cannot write to the file" };
        co_return false;
    };
}

SpanExporter exportOverHttp(HTTP::Client& client, Core::Address address, std::string target)
{
    return [&client, address, target](std::string json, Core::Deadline deadline, Core::Reason& reason) -> Core::Task<bool> {
        HTTP::Request request { "POST", target, { { "Content-Type", "application/json" } }, std::move(json) };
        std::optional<HTTP::Response> response = co_await client.roundTrip(address, std::move(request), deadline, reason);
        if (!response)
            co_return false;
        if (response->status / 100 == 2)
            co_return true;
        reason = { Core::FailureKind::Refused, "post spans", address.text(), "the collector responded with status " + std::to_string(response->status) };
        co_return false;
    };
}

}
