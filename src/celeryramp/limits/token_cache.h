#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/snapshot.h"
#include "core/time.h"
#include "limits/grant.h"
#include "limits/tokens.h"

namespace celeryramp {

/*! @brief Request for tokens, to be sent to a minter. */
struct TokenRequest
{
    std::uint64_t id = 0;
    std::string minter;
    std::string account;
    MicroTokens amount = 0;
};

/*! @brief Result of trying to admit a call. */
enum class Admission {
    Admitted, /*!< The cost of the call was debited. */
    Wait, /*!< Tokens were requested; try again when the grant arrives or the request fails. */
    Refused /*!< No configuration yet, or no minter is left that may have enough tokens. */
};

/*! @brief Decision on one call, with the request to send if tokens are needed. */
struct AdmissionResult
{
    Admission admission = Admission::Refused;
    std::optional<TokenRequest> request;
};

/*!
 * @brief Caches granted tokens of client accounts at one entry node.
 *
 * The lifetime of a grant starts when the request is made, measured by this node's own clock, so
 * that neither message delays nor clock differences extend it. Tokens are requested in advance, so
 * that most calls are admitted without a message.
 */
class TokenCache
{
public:
    /*! @param zone Zone of this node; its minters are preferred. */
    explicit TokenCache(std::string zone) : m_zone{std::move(zone)} { }

    /*!
     * @brief Applies a new configuration.
     * Resets the estimates and keeps the balances, except those of removed accounts.
     */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*!
     * @brief Tries to admit one call.
     * @param account Account to charge.
     * @param triedMinters Minters that were already asked for this call; a minter that is asked now
     * is appended.
     * @param now Current time.
     */
    [[nodiscard]] AdmissionResult admit(const ClientAccount &account,
                                        std::vector<std::string> &triedMinters, TimePoint now);

    /*!
     * @brief Adds the tokens of a grant that arrived.
     * The tokens of an expired grant or of one without a pending request are lost.
     */
    void onGrant(std::uint64_t id, const Grant &grant, TimePoint now);

    /*!
     * @brief Drops a request whose minter could not be reached and avoids that minter for a second.
     * @return Account of the request; empty if the request is not pending.
     */
    std::string onUnreachable(std::uint64_t id, TimePoint now);

    /*! @return True while a request waits for its grant. */
    [[nodiscard]] bool isPending(std::uint64_t id) const { return m_pending.count(id) > 0; }

    /*! @return Unspent, unexpired micro-tokens of an account. */
    [[nodiscard]] MicroTokens balance(const std::string &account, TimePoint now);

private:
    struct Credit
    {
        MicroTokens amount = 0;
        TimePoint expiresAt;
    };
    struct MinterEstimate
    {
        std::string name;
        bool sameZone = false;
        double level = 0.0;
        double capacity = 0.0;
        double ratePerSecond = 0.0;
        TimePoint updatedAt;
        TimePoint blockedUntil;
    };
    struct AccountEntry
    {
        std::deque<Credit> credits; /*!< Ordered by expiry, earliest first. */
        std::vector<MinterEstimate> minters;
        double demandPerSecond = 0.0; /*!< Smoothed rate of calls at this node. */
        TimePoint lastCall;
        int requestsInFlight = 0;
    };
    struct PendingRequest
    {
        TokenRequest request;
        TimePoint requestedAt;
        Millis lifetime{0};
    };

    [[nodiscard]] AccountEntry &entryOf(const ClientAccount &account, TimePoint now);
    void resetEstimates(AccountEntry &entry, const ClientAccount &account, TimePoint now) const;
    static void updateDemand(AccountEntry &entry, TimePoint now);
    static void dropExpiredCredits(AccountEntry &entry, TimePoint now);
    [[nodiscard]] static MicroTokens totalCredits(const AccountEntry &entry);
    static void debit(AccountEntry &entry, MicroTokens amount);
    [[nodiscard]] MinterEstimate *chooseMinter(AccountEntry &entry,
                                               const std::vector<std::string> &triedMinters,
                                               TimePoint now) const;
    [[nodiscard]] TokenRequest requestTokens(AccountEntry &entry, const ClientAccount &account,
                                             MinterEstimate &minter, bool isWaiting, TimePoint now);
    void expireRequests(TimePoint now);

    std::string m_zone;
    SnapshotPtr m_snapshot;
    std::map<std::string, AccountEntry> m_entries;
    std::map<std::uint64_t, PendingRequest> m_pending;
    std::uint64_t m_lastId = 0;
};

} // namespace celeryramp
