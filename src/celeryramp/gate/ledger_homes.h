#pragma once

#include <string>
#include <vector>

#include "config/snapshot.h"

namespace celeryramp {

/*! @brief Number of homes that store the record of an idempotency key; tolerates the loss of two.
 */
inline constexpr std::size_t kLedgerHomes = 5;

/*!
 * @brief Selects the homes of a key by rendezvous hashing over all servers of the configuration.
 * The homes are spread evenly over the zones.
 * @return Up to `kLedgerHomes` server names.
 */
[[nodiscard]] std::vector<std::string> ledgerHomes(const Snapshot &snapshot,
                                                   const std::string &key);

/*! @return Number of votes that a reservation needs: more than half of the homes. */
[[nodiscard]] constexpr std::size_t ledgerQuorum(std::size_t homes) noexcept
{
    return homes / 2 + 1;
}

} // namespace celeryramp
