#pragma once

#include "LibCore/Async.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <stdexcept>

// Runs the event loop until the task ends and returns its result. A generous watchdog ends a task that hangs.
template <typename T>
T runTask(boost::asio::io_context& context, Core::Task<T> task)
{
    std::optional<T> result;
    std::exception_ptr error;
    bool isDone = false;
    boost::asio::co_spawn(context, std::move(task), [&](std::exception_ptr failure, T value) {
        error = failure;
        result = std::move(value);
        isDone = true;
    });
    context.restart();
    Core::Deadline watchdog = Core::Deadline::after(std::chrono::seconds(60));
    while (!isDone) {
        if (watchdog.hasPassed())
            throw std::runtime_error("the task did not end within 60 s");
        context.run_one_for(std::chrono::seconds(1));
    }
    if (error)
        std::rethrow_exception(error);
    return std::move(*result);
}
