#pragma once

#include <string>

#include "core/time.h"

namespace celeryramp {

/*! @brief Whether a request may be executed more than once. */
enum class RepeatSafety {
    Idempotent, /*!< A repeated execution has no further effect. */
    AtMostOnce /*!< Must not be executed a second time. */
};

/*! @brief Targets and retry policy for a class of requests, as set by operators. */
struct WorkClass
{
    std::string name;
    Millis latency{0}; /*!< Latency target; slower answers miss it. */
    double success = 0.0; /*!< Target share of calls answered within `latency`, 0 to 1. */
    RepeatSafety repeat = RepeatSafety::AtMostOnce;
    Millis deadline{0}; /*!< Time after which a call is abandoned, in milliseconds. */
    Millis keyFreshness{0}; /*!< Maximum time in ms since the configuration was last confirmed, for
                               accepting keys; 0: no limit. */
};

} // namespace celeryramp
