#pragma once

#include <cstdint>

namespace celeryramp {

/*! @brief What this process has used so far. */
struct ProcessUsage
{
    double cpuSeconds = 0.0; /*!< User and system time of all threads. */
    std::uint64_t residentBytes = 0; /*!< Resident memory now. */
    std::uint64_t threads = 0;
};

/*! @return Figures from the operating system's process table. */
[[nodiscard]] ProcessUsage processUsage();

} // namespace celeryramp
