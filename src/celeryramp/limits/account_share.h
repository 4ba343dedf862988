#pragma once

#include <string>
#include <vector>

#include "config/client_account.h"
#include "config/snapshot.h"
#include "core/time.h"
#include "limits/tokens.h"

namespace celeryramp {

/*!
 * @brief Share of an account's rate and burst that one minter may grant.
 *
 * An account with rate r and burst b is served by n minters. Each one adds r/n tokens per second to
 * a bucket of capacity c, and a grant expires after `grantLifetime`. With
 * `c = (r/n) * (b/r - grantLifetime)`, the tokens spent in any window W sum up to at most r * W +
 * b, even if messages are lost or delayed or the network is partitioned.
 */
struct AccountShare
{
    double ratePerSecond = 0.0; /*!< Micro-tokens minted per second. */
    MicroTokens capacity = 0; /*!< Maximum level of the bucket. */
    Millis grantLifetime{
            0}; /*!< Lifetime of a grant, starting when the requester sends its request. */
};

/*!
 * @brief Selects the minters of an account in one zone by rendezvous hashing.
 *
 * The selection uses all servers that the configuration declares, whether they are alive or not, so
 * that all nodes with the same configuration divide the rate by the same number.
 * @return Server names in order of rank; empty if the configuration has no server in the zone.
 */
[[nodiscard]] std::vector<std::string>
mintersOf(const Snapshot &snapshot, const ClientAccount &account, const std::string &zone);

/*! @return Names of all zones that have servers in the configuration. */
[[nodiscard]] std::vector<std::string> mintingZones(const Snapshot &snapshot);

/*!
 * @return Lifetime of a grant of this account: a quarter of the time in which the rate refills the
 * burst, but between 1 ms and 200 ms.
 */
[[nodiscard]] Millis grantLifetime(const ClientAccount &account);

/*! @return Share of a server in an account; all zero if the server is not one of its minters. */
[[nodiscard]] AccountShare shareOf(const Snapshot &snapshot, const ClientAccount &account,
                                   const std::string &server);

} // namespace celeryramp
