#pragma once

#include "LibCore/Async.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <exception>
#include <optional>

namespace Testing {

// A deadline that a working test never reaches.
inline Core::Deadline soon()
{
    return Core::Deadline::after(std::chrono::seconds(20));
}

// Starts a task and keeps its result for later.
template <typename T>
std::shared_ptr<std::optional<T>> start(boost::asio::io_context& context, Core::Task<T> task)
{
    std::shared_ptr<std::optional<T>> result = std::make_shared<std::optional<T>>();
    boost::asio::co_spawn(context, std::move(task), [result](std::exception_ptr error, T value) {
        if (error)
            std::rethrow_exception(error);
        *result = std::move(value);
    });
    return result;
}

// Runs the context until the condition holds; fails the test when no work is left or after a long time.
template <typename Condition>
void runUntil(boost::asio::io_context& context, Condition condition)
{
    Core::Deadline watchdog = Core::Deadline::after(std::chrono::seconds(60));
    while (!condition()) {
        context.restart();
        size_t handled = context.run_one_for(std::chrono::seconds(1));
        cr_assert(handled > 0 || !context.stopped(), "no work is left, but the condition does not hold");
        cr_assert_not(watchdog.hasPassed(), "the condition did not hold in time");
    }
}

// Runs the context until the task has ended and returns its result.
template <typename T>
T run(boost::asio::io_context& context, Core::Task<T> task)
{
    std::shared_ptr<std::optional<T>> result = start(context, std::move(task));
    runUntil(context, [&] { return result->has_value(); });
    return std::move(**result);
}

}
