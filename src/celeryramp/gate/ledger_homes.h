#pragma once

#include <string>
#include <vector>

#include "config/snapshot.h"

namespace celeryramp {

/*! @brief Homes that keep the record of one idempotency key; any two of them may be lost. */
inline constexpr std::size_t kLedgerHomes = 5;

/*!
 * @brief Homes of a key, by rendezvous over the declared servers, spread evenly over all zones.
 * @return Up to `kLedgerHomes` server names.
 */
[[nodiscard]] std::vector<std::string> ledgerHomes(const Snapshot &snapshot,
                                                   const std::string &key);

/*! @return Votes that a reservation needs of so many homes: more than half. */
[[nodiscard]] constexpr std::size_t ledgerQuorum(std::size_t homes) noexcept
{
    return homes / 2 + 1;
}

} // namespace celeryramp
