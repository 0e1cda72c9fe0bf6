#include "RelayMain.h"

#include "ExitCode.h"
#include "RelayDaemon.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

struct Process {
    std::string settingsPath;
    boost::asio::io_context context { 1 };
    std::unique_ptr<RelayDaemon> daemon;
    boost::asio::signal_set signals { context, SIGTERM, SIGINT, SIGHUP };
    bool isStopping { false };
    int exitCode { Success };
};

Core::Task<void> stop(Process& process)
{
    process.exitCode = co_await process.daemon->stop() ? Success : ShutdownIncomplete;
    process.context.stop();
}

void reload(Process& process)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = loadRelaySettings(process.settingsPath, reason);
    if (settings)
        process.daemon->reload(*settings);
    else
        std::fprintf(stderr, "jujuberelayd: reload failed, keeping the current settings: %s\n", reason.text().c_str());
}

void waitForSignal(Process& process)
{
    process.signals.async_wait([&process](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload(process);
        else if (process.isStopping)
            process.context.stop();
        else
            Core::spawn(process.context.get_executor(), "stop", stop(process));
        process.isStopping = process.isStopping || signal != SIGHUP;
        waitForSignal(process);
    });
}

}

// Ends the process without destroying the tasks in progress, which refer to parts of the daemon, and without waiting for the
// threads of the logging library.
[[noreturn]] static void exitProcess(int code)
{
    Core::closeLog();
    std::_Exit(code);
}

int runRelay(const std::string& settingsPath, bool checkOnly)
{
    Core::Reason reason;
    std::optional<RelaySettings> settings = loadRelaySettings(settingsPath, reason);
    if (!settings) {
        std::fprintf(stderr, "jujuberelayd: %s\n", reason.text().c_str());
        return InvalidSettings;
    }
    if (checkOnly) {
        std::printf("%s: the settings are valid\n", settingsPath.c_str());
        return Success;
    }
    Core::initialiseLog(settings->host, severityOf(settings->logLevel), Core::LogTarget::StandardOutput);
    Process process;
    process.settingsPath = settingsPath;
    process.daemon = std::make_unique<RelayDaemon>(process.context.get_executor(), *settings);
    if (!process.daemon->start(reason)) {
        std::fprintf(stderr, "jujuberelayd: %s\n", reason.text().c_str());
        return StartFailed;
    }
    waitForSignal(process);
    process.context.run();
    exitProcess(process.exitCode);
}
