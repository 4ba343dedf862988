#pragma once

#include <string>

#include "core/time.h"

namespace celeryramp::test {

/*! @brief One request of a prober, as it saw it. */
struct ProbeResult
{
    int node = 0;
    int incarnation = 0; /*!< Of the node's process. */
    std::string route;
    std::string key; /*!< Empty if it was sent without one. */
    TimePoint sentAt;
    TimePoint endedAt;
    int status = 0; /*!< 0 if it got no answer. */
};

} // namespace celeryramp::test
