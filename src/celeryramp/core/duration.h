#pragma once

#include <cmath>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief Reads a span such as `1500ms` or `2.5s`.
 * @return The span in whole milliseconds, or nothing when the text is none.
 */
[[nodiscard]] inline std::optional<Millis> parseDuration(std::string_view text)
{
    const std::string number{text};
    char *end = nullptr;
    const double value = std::strtod(number.c_str(), &end);
    const std::string_view unit{end};
    // Spans are bounded so that sums of a few of them stay far from overflow.
    constexpr double kLongest = 1e12;
    if (end == number.c_str() || !(value >= 0.0) || value > kLongest
        || (unit != "ms" && unit != "s")) {
        return std::nullopt;
    }
    return Millis{std::llround(unit == "s" ? value * 1000.0 : value)};
}

} // namespace celeryramp
