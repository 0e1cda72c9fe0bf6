#pragma once

#include "LibCore/Async.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>

// Runs the event loop until the condition holds. Throws after 60 s.
inline void runUntil(boost::asio::io_context& context, const std::function<bool()>& isDone)
{
    // The loop is stopped after it has run out of work.
    context.restart();
    Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(60));
    while (!isDone()) {
        if (deadline.hasPassed())
            throw std::runtime_error("the condition did not hold within 60 s");
        context.run_one_for(std::chrono::seconds(1));
    }
}

// Runs the event loop until the task ends and returns its result.
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
    runUntil(context, [&isDone] { return isDone; });
    if (error)
        std::rethrow_exception(error);
    return std::move(*result);
}
