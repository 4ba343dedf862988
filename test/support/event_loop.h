#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "core/boot_clock.h"

namespace celeryramp::test {

/*! @brief Runs an event loop until a condition holds. @return False on timeout. */
[[nodiscard]] inline bool runUntil(boost::asio::io_context &context,
                                   const std::function<bool()> &condition, Millis most)
{
    const auto end = bootNow() + most;
    while (!condition()) {
        if (bootNow() >= end) {
            return false;
        }
        context.restart();
        context.run_one_for(Millis{20});
    }
    return true;
}

} // namespace celeryramp::test
