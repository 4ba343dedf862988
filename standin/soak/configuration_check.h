#pragma once

#include <vector>

#include "soak/promise_check.h"

namespace standin::soak {

/*!
 * @brief Checks that what was confirmed is in force, that no node goes back to an older version,
 * that added routes are served and that proper requests are not denied.
 * @return One violation for each promise, node and version, with the first request that shows it.
 */
[[nodiscard]] std::vector<Violation> checkConfiguration(const Observations &observations,
                                                        const PromiseBounds &bounds);

} // namespace standin::soak
