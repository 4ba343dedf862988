#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace bench {

/*! @brief Outcome of one open-loop run. */
struct OpenLoopResult
{
    std::vector<double> millis; /*!< From when a call was due to its end, good calls only. */
    std::uint64_t failed = 0;
    double seconds = 0.0;
};

/*! @brief Sends one call on a worker's own connection. @return True when it ended well. */
using SendCall = std::function<bool()>;

/*!
 * @brief Sends calls at a fixed rate whatever the answers do.
 * @param makeSender Makes one sender per worker. @param workers Calls under way at most.
 */
[[nodiscard]] OpenLoopResult runOpenLoop(double perSecond, double seconds, std::size_t workers,
                                         const std::function<SendCall()> &makeSender);

} // namespace bench
