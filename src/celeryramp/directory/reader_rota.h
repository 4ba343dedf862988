#pragma once

#include <cstddef>
#include <optional>

#include "core/time.h"

namespace celeryramp::directory {

/*! @brief Where a node stands among those of its zone that could read the platform. */
struct ReaderPosition
{
    std::size_t place = 0; /*!< Able nodes of the zone that come before it. */
    Millis age{0}; /*!< Of its own knowledge. */
    bool isBehind = false; /*!< It holds nothing yet, or news were announced that it lacks. */
};

/*!
 * @brief Decides whether a node reads the platform.
 *
 * One node of a zone reads for all. The others see its news or its confirmations several times a
 * second; when their knowledge grows old they take over one after the other, so that neither a
 * reader that fell silent nor a second one that is cut off as well holds up the zone for long.
 * @return Pause after changes, or nothing when the node does not read.
 */
[[nodiscard]] std::optional<Millis> readPause(const ReaderPosition &position) noexcept;

} // namespace celeryramp::directory
