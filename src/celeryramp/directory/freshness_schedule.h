#pragma once

#include "core/time.h"

namespace celeryramp::directory {

/*!
 * @brief Times at which a node looks for newer state, so that a configuration is in force in time
 * also where the usual ways fail.
 *
 * A read or the reply of a peer takes a part of the bound, so each step begins well before it.
 */
struct FreshnessSchedule
{
    /*! @param bound Time within which a published configuration must be in force on every node. */
    explicit constexpr FreshnessSchedule(Millis bound) noexcept
        : askPeerAge{bound * 6 / 10}, selfReadAge{bound * 8 / 10}, maxLag{bound / 3}
    { }

    Millis askPeerAge; /*!< Age of the replica from which peers are asked for newer state. */
    Millis selfReadAge; /*!< Age of the replica from which every node reads the source. */
    Millis maxLag; /*!< Time without an announced revision after which a node reads the source. */
};

} // namespace celeryramp::directory
