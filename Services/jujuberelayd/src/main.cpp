#include "Daemon.h"
#include "ExitCode.h"
#include "LibCore/EventLog.h"
#include "LibTelemetry/Exporters.h"
#include "ProcessLimits.h"
#include "RelayMain.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "path of the settings file; see docs/OPERATIONS.md");
DEFINE_bool(relay, false, "run as a relay for a deployment with its own store; see docs/OPERATIONS.md");
DEFINE_bool(check, false, "validate the settings file and exit");

namespace {

// Without a trace file, no spans are recorded and the exporter is never called.
std::optional<Telemetry::SpanExporter> makeSpanExport(const Settings& settings, Core::Reason& reason)
{
    if (!settings.traceFile.empty())
        return Telemetry::exportToFile(settings.traceFile, reason);
    return [](std::string, Core::Deadline, Core::Reason&) -> Core::Task<bool> { co_return true; };
}

Core::Task<void> runDaemon(std::unique_ptr<Daemon>& daemon, const Settings& settings, Telemetry::Tracer& tracer, boost::asio::io_context& context, int& exitCode)
{
    uint64_t incarnation = co_await Daemon::chooseIncarnation(context.get_executor(), settings);
    daemon = std::make_unique<Daemon>(context.get_executor(), settings, incarnation, tracer);
    Core::Reason reason;
    if (!co_await daemon->start(reason)) {
        std::fprintf(stderr, "jujuberelayd: %s\n", reason.text().c_str());
        exitCode = StartFailed;
        context.stop();
        co_return;
    }
    std::printf("%s\n", daemon->addressLine().c_str());
    std::fflush(stdout);
}

Core::Task<void> drainDaemon(std::unique_ptr<Daemon>& daemon, boost::asio::io_context& context, int& exitCode)
{
    Core::Reason reason;
    exitCode = !daemon || co_await daemon->drain(reason) ? Success : ShutdownIncomplete;
    context.stop();
}

// The first signal starts a drain; a second one aborts it.
void waitForSignal(boost::asio::signal_set& signals, boost::asio::io_context& context, std::unique_ptr<Daemon>& daemon, int& exitCode, bool isFirst)
{
    signals.async_wait([&signals, &context, &daemon, &exitCode, isFirst](const boost::system::error_code& error, int) {
        if (error)
            return;
        if (isFirst)
            Core::spawn(context.get_executor(), "drain", drainDaemon(daemon, context, exitCode));
        else if (daemon)
            daemon->abortDrain();
        waitForSignal(signals, context, daemon, exitCode, false);
    });
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Daemon of jujuberelay, one for each entry host.\n\nusage: jujuberelayd --settings=FILE [--check]\n\n"
                            "exit codes: 0 graceful shutdown, 1 shutdown interrupted work in progress, 2 invalid settings, 4 start failed");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ProcessLimits::limitAllocator();
    if (FLAGS_relay)
        return runRelay(FLAGS_settings, FLAGS_check);
    Core::Reason reason;
    std::optional<Settings> settings = loadSettings(FLAGS_settings, reason);
    if (!settings) {
        std::fprintf(stderr, "jujuberelayd: %s\n", reason.text().c_str());
        return InvalidSettings;
    }
    if (FLAGS_check) {
        std::printf("%s: the settings are valid\n", FLAGS_settings.c_str());
        return Success;
    }
    Core::initialiseLog(settings->host, severityOf(settings->logLevel));
    std::optional<Telemetry::SpanExporter> spanExport = makeSpanExport(*settings, reason);
    if (!spanExport) {
        std::fprintf(stderr, "jujuberelayd: %s\n", reason.text().c_str());
        return InvalidSettings;
    }
    Telemetry::TracerSettings tracerSettings;
    tracerSettings.isEnabled = !settings->traceFile.empty();
    tracerSettings.serviceName = "jujuberelayd";
    tracerSettings.host = settings->host;
    // Must outlive the context, whose tasks may still hold spans when it is destroyed.
    Telemetry::Tracer tracer(std::move(tracerSettings), std::move(*spanExport));
    boost::asio::io_context context(1);
    std::unique_ptr<Daemon> daemon;
    int exitCode = Success;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    waitForSignal(signals, context, daemon, exitCode, true);
    Core::spawn(context.get_executor(), "start", runDaemon(daemon, *settings, tracer, context, exitCode));
    context.run();
    return exitCode;
}
