#pragma once

#include <string>
#include <vector>

#include "config/client_account.h"
#include "config/snapshot.h"
#include "core/time.h"
#include "limits/tokens.h"

namespace celeryramp {

/*!
 * @brief Part of one account's rate and burst that one minter may give out.
 *
 * An account with rate r and burst b is served by n minters. Each mints r/n into a bucket of
 * capacity c and each grant lives for `grantLife`; with `c = (r/n) * (b/r - grantLife)` all grants
 * spent in a window W sum up to at most r * W + b, whatever is lost, delayed or partitioned.
 */
struct AccountShare
{
    double ratePerSecond = 0.0; /*!< Micro-tokens minted per second. */
    MicroTokens capacity = 0; /*!< Largest bucket level. */
    Millis grantLife{0}; /*!< Life of a grant, counted by the asker from before it asked. */
};

/*!
 * @brief Minters of an account in one zone, by rendezvous over the declared servers.
 * The divisor is what the configuration declares, never who is alive.
 * @return Server names, best first; empty when the zone declares no server.
 */
[[nodiscard]] std::vector<std::string>
mintersOf(const Snapshot &snapshot, const ClientAccount &account, const std::string &zone);

/*! @return All zones that declare servers. */
[[nodiscard]] std::vector<std::string> mintingZones(const Snapshot &snapshot);

/*! @return Life of a grant of this account. */
[[nodiscard]] Millis grantLife(const ClientAccount &account);

/*! @return Share of a server in an account; zero when it is no minter of it. */
[[nodiscard]] AccountShare shareOf(const Snapshot &snapshot, const ClientAccount &account,
                                   const std::string &server);

} // namespace celeryramp
