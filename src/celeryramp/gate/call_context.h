#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace celeryramp {

/*! @brief Data that a nested call inherits from the call whose execution makes it. */
struct CallContext
{
    std::string account;
    std::string keyId;
    std::string chain; /*!< Identity of the outside call that started the chain of calls. */
    std::uint32_t depth = 0;
    TimePoint deadline;
};

} // namespace celeryramp
