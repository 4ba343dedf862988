#pragma once

#include <map>
#include <string>

#include "config/snapshot.h"
#include "core/time.h"
#include "limits/account_share.h"
#include "limits/grant.h"
#include "limits/tokens.h"

namespace celeryramp {

/*!
 * @brief Time from a configuration change until an increased share takes effect.
 * Gives all nodes time to apply the change first.
 */
inline constexpr Millis kShareGrowthDelay{10'000};

/*!
 * @brief Issues tokens for this server's shares of client accounts.
 *
 * Tokens are debited before the grant is sent, so a lost grant loses its tokens but never issues
 * them twice. The buckets of a new incarnation start empty, so that tokens which the previous one
 * granted are not granted again. Cluster membership has no influence on the shares.
 */
class Minter
{
public:
    /*! @param self Name of this node's server. */
    explicit Minter(std::string self) : m_self{std::move(self)} { }

    /*!
     * @brief Applies a new configuration.
     * A reduced rate, capacity or lifetime takes effect immediately, an increased one after
     * `kShareGrowthDelay`. The first configuration takes effect immediately.
     */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*!
     * @brief Debits up to the wanted amount, in whole calls, from the bucket of an account.
     * @return Granted amount and remaining level; both zero if this server is not a minter of the
     * account.
     */
    [[nodiscard]] Grant grant(const std::string &account, MicroTokens wanted, TimePoint now);

    /*!
     * @brief Empties all buckets and stops minting until `resume` is called.
     * To be called after the process was paused, since a successor may have taken over this
     * server's slot in the meantime.
     */
    void suspend(TimePoint now);

    /*!
     * @brief Starts minting again, with empty buckets, after `suspend`.
     * To be called when a peer or the platform confirms that this process still holds its slot.
     */
    void resume(TimePoint now);

    /*! @return Number of accounts that have a bucket on this server. */
    [[nodiscard]] std::size_t size() const noexcept { return m_buckets.size(); }

private:
    struct Bucket
    {
        AccountShare share; /*!< Share that currently applies. */
        AccountShare nextShare; /*!< Share that applies from `nextShareFrom` on. */
        TimePoint nextShareFrom;
        TimePoint mintedAt;
        double level = 0.0;
    };

    void refill(Bucket &bucket, TimePoint now) const;
    static void mint(Bucket &bucket, TimePoint until);

    std::string m_self;
    SnapshotPtr m_snapshot;
    std::map<std::string, Bucket> m_buckets;
    bool m_suspended = false;
};

} // namespace celeryramp
