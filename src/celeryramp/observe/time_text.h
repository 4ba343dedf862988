#pragma once

#include <string>

namespace celeryramp {

/*! @return The time of day as Unix seconds with milliseconds, for log lines only. */
[[nodiscard]] std::string timeOfDayText();

} // namespace celeryramp
