#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace celeryramp {

/*! @brief What a backend server's own call inherits from the call that caused it. */
struct CallContext
{
    std::string account;
    std::string keyId;
    std::string chain; /*!< Identity of the outside call. */
    std::uint32_t depth = 0;
    TimePoint deadline;
};

} // namespace celeryramp
