#pragma once

#include <string>

#include "core/time.h"

namespace celeryramp {

/*! @brief Whether a request may be executed more than once. */
enum class RepeatSafety {
    Idempotent, /*!< Executing again changes nothing. */
    AtMostOnce /*!< Must never be executed a second time. */
};

/*! @brief A class of work with the targets that operators set for it. */
struct WorkClass
{
    std::string name;
    Millis latency{0}; /*!< Answers later than this miss the target. */
    double success = 0.0; /*!< Share of calls to be answered within the latency, 0 to 1. */
    RepeatSafety repeat = RepeatSafety::AtMostOnce;
    Millis deadline{0}; /*!< A call is given up after this long. */
    Millis keyFreshness{0}; /*!< Oldest configuration that keys are believed from; 0 for any. */
};

} // namespace celeryramp
