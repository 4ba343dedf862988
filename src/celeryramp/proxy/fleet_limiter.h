#pragma once

#include <map>
#include <string>

#include "core/time.h"
#include "directory/client_account.h"
#include "proxy/frames.h"

namespace celeryramp::proxy {

/*! Age of the last levels after which a node limits by its local bucket. */
inline constexpr Millis kMaxLevelsAge{1500};

/*!
 * @brief Enforces the rate limits of accounts over the whole fleet, based on slightly outdated
 * totals.
 *
 * Each node admits requests with the probability that keeps the fleet at the account's rate. The
 * probability is higher while the fleet-wide token bucket of the account has tokens and lower while
 * it is overdrawn, which happens because the levels arrive with a delay. Below the rate, all
 * requests are admitted. This needs no split of the limit among the nodes, so small limits are not
 * wasted on nodes without traffic. A node without recent levels limits by its even share of rate
 * and burst, which the other nodes leave unused.
 */
class FleetLimiter
{
public:
    /*!
     * @brief Decides on a request of an account and counts it.
     * @param nodes Number of nodes among which the limit is split without recent levels.
     * @param draw Random number, uniformly distributed from 0 to 1.
     */
    [[nodiscard]] bool admit(const directory::ClientAccount &account, std::size_t nodes,
                             double draw, TimePoint now);

    /*! @return Current limiter state of the account, for logs. */
    [[nodiscard]] std::string describe(const directory::ClientAccount &account,
                                       TimePoint now) const;

    /*! @return Requests demanded and admitted by account since the last report. */
    [[nodiscard]] UsageFrame takeReport();

    /*! @brief Applies the fleet-wide levels. Accounts that are not listed are not limited. */
    void onLevels(const LevelsFrame &levels, TimePoint now);

private:
    struct Account
    {
        AccountUsage unreported;
        double level = 0.0; /*!< Tokens of the fleet-wide bucket; negative when overdrawn. */
        double demand = 0.0; /*!< Requests per second over all live nodes. */
        double rate = 0.0; /*!< Requests per second that these may admit together. */
        double localTokens = 0.0; /*!< Of the bucket used without recent levels. */
        TimePoint localRefilledAt;
        bool isLimited = false; /*!< The last levels list it. */
    };

    [[nodiscard]] bool admitLocally(Account &state, const directory::ClientAccount &account,
                                    std::size_t nodes, TimePoint now);

    std::map<std::string, Account> m_accounts;
    TimePoint m_levelsAt;
    bool m_hasLevels = false;
};

} // namespace celeryramp::proxy
