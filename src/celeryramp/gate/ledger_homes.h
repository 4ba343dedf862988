#pragma once

#include <string>
#include <vector>

#include "config/snapshot.h"

namespace celeryramp {

/*! @brief Homes that keep the record of one idempotency key. */
inline constexpr std::size_t kLedgerHomes = 3;

/*!
 * @brief Homes of a key, by rendezvous over the declared servers, in different zones where the
 * configuration declares enough.
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
