#pragma once

#include <cstddef>
#include <optional>

#include "core/time.h"

namespace celeryramp::directory {

/*! @brief Rank of a node among the candidate readers of its zone, and the state of its replica. */
struct ReaderPosition
{
    std::size_t rank = 0; /*!< Number of candidates in the zone that precede this node. */
    Millis age{0}; /*!< Age of the node's replica. */
    bool isBehind = false; /*!< The replica is empty or misses an announced revision. */
    Millis selfReadAge{1600}; /*!< `FreshnessSchedule::selfReadAge` of the deployment. */
};

/*!
 * @brief Decides whether a node reads the platform.
 *
 * One node of a zone reads on behalf of all. The others receive its updates or confirmations
 * several times a second. When their replicas grow too old, they take over one after the other, in
 * the order of their ranks. Thus neither a failed reader nor a second one that is disconnected as
 * well delays the zone for long.
 * @return Pause after a response with changes, or empty if the node does not read.
 */
[[nodiscard]] std::optional<Millis> readPause(const ReaderPosition &position) noexcept;

/*!
 * @brief Longest pause before a read that follows failed ones.
 *
 * It doubles with each failure up to 800 ms. While the platform turns many nodes of a zone away,
 * it grows with their number, so that the zone's attempts stay those of a few nodes: the first one
 * that succeeds informs the others.
 * @param failures Failed reads in a row.
 * @param failingPeers Other nodes of the zone whose reads have failed lately.
 */
[[nodiscard]] Millis readBackoff(int failures, std::size_t failingPeers) noexcept;

} // namespace celeryramp::directory
