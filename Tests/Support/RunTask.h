#pragma once

#include "LibCore/Async.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <exception>
#include <optional>

namespace TestSupport {

// A generous limit that only a test that hangs reaches.
static constexpr std::chrono::seconds watchdog(60);

// Runs the context until the task has ended and returns its result.
template <typename T>
T runTask(boost::asio::io_context& context, Core::Task<T> task)
{
    std::optional<T> result;
    std::exception_ptr error;
    bool isDone = false;
    boost::asio::co_spawn(context, std::move(task), [&](std::exception_ptr raised, T value) {
        error = raised;
        result = std::move(value);
        isDone = true;
    });
    Core::Deadline limit = Core::Deadline::after(watchdog);
    // A context that ran out of work in an earlier call is stopped.
    context.restart();
    while (!isDone && !limit.hasPassed())
        context.run_one_until(limit.at());
    cr_assert(isDone, "the task did not end within the watchdog's limit");
    if (error)
        std::rethrow_exception(error);
    return std::move(*result);
}

// Starts a task whose result is stored once it has ended.
template <typename T>
void startTask(boost::asio::io_context& context, Core::Task<T> task, std::optional<T>& result)
{
    boost::asio::co_spawn(context, std::move(task), [&result](std::exception_ptr, T value) { result = std::move(value); });
}

// Runs the context until the condition holds.
template <typename Condition>
void runUntil(boost::asio::io_context& context, Condition condition)
{
    Core::Deadline limit = Core::Deadline::after(watchdog);
    context.restart();
    while (!condition() && !limit.hasPassed())
        context.run_one_until(limit.at());
    cr_assert(condition(), "the condition did not hold within the watchdog's limit");
}

}
