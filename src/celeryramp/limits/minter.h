#pragma once

#include <map>
#include <string>

#include "config/snapshot.h"
#include "core/time.h"
#include "limits/account_share.h"
#include "limits/grant.h"
#include "limits/tokens.h"

namespace celeryramp {

/*! @brief After a change, a share that grows waits until every node has the change in force. */
inline constexpr Millis kShareGrowthDelay{10'000};

/*!
 * @brief Mints this server's shares of client accounts and gives tokens to whoever asks.
 *
 * Tokens are debited before the grant is sent: a lost grant loses tokens and never doubles them.
 * A new incarnation starts empty, so that what its predecessor gave is not given again. The view
 * of membership plays no part.
 */
class Minter
{
public:
    /*! @param self Name of this node's server. */
    explicit Minter(std::string self) : m_self{std::move(self)} { }

    /*! @brief A configuration came in force. Shares that shrink do so now, others later. */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*!
     * @brief Gives up to the wanted amount.
     * @return What was given and what is left; nothing for accounts this server does not mint.
     */
    [[nodiscard]] Grant take(const std::string &account, MicroTokens wanted, TimePoint now);

    /*!
     * @brief The process was paused: empties all buckets and mints nothing until told.
     * Meanwhile a successor may hold this server's slot.
     */
    void suspend(TimePoint now);

    /*! @brief A peer or the platform confirmed that this process is still in its slot. */
    void resume(TimePoint now);

    /*! @return Number of accounts this server mints for. */
    [[nodiscard]] std::size_t size() const noexcept { return m_buckets.size(); }

private:
    struct Bucket
    {
        AccountShare share; /*!< In force now. */
        AccountShare next; /*!< In force from `growsAt` on. */
        TimePoint growsAt;
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
