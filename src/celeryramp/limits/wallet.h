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

/*! @brief A request for tokens that the wallet wants sent. */
struct TokenAsk
{
    std::uint64_t id = 0;
    std::string minter;
    std::string account;
    MicroTokens amount = 0;
};

/*! @brief What becomes of a call that wants to be admitted. */
enum class Admission {
    Admitted, /*!< One call's price was debited. */
    Wait, /*!< Tokens were asked for; try again when a grant arrives. */
    Refused /*!< Every minter that may have tokens was asked. */
};

/*! @brief Decision on one call with what is to be sent for it. */
struct AdmissionResult
{
    Admission admission = Admission::Refused;
    std::optional<TokenAsk> ask;
};

/*!
 * @brief Prepaid tokens of client accounts at one entry node.
 *
 * A grant lives from before it was asked for, by this node's own clock, so that neither delays nor
 * clock differences lengthen it. The common call is admitted without a message.
 */
class Wallet
{
public:
    /*! @param zone Zone of this node, whose minters are asked first. */
    explicit Wallet(std::string zone) : m_zone{std::move(zone)} { }

    /*! @brief A configuration came in force: estimates start anew, balances stay. */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*!
     * @brief Tries to admit one call.
     * @param account Account to charge. @param tried Minters that this call already waited for.
     * @param now Present time.
     */
    [[nodiscard]] AdmissionResult admit(const ClientAccount &account,
                                        std::vector<std::string> &tried, TimePoint now);

    /*! @brief A grant arrived. Late and unknown ones are dropped: their tokens are lost. */
    void onGrant(std::uint64_t id, const Grant &grant, TimePoint now);

    /*! @brief A minter could not be reached; the ask is given up. @return Account that asked. */
    std::string onUnreachable(std::uint64_t id, TimePoint now);

    /*! @return True while an ask waits for its grant. */
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
        TimePoint at;
        TimePoint blockedUntil;
    };
    struct Purse
    {
        std::deque<Credit> credits; /*!< Soonest to expire first. */
        std::vector<MinterEstimate> minters;
        double demandPerSecond = 0.0; /*!< Smoothed rate of calls here. */
        TimePoint lastCall;
        int asksInFlight = 0;
    };
    struct Pending
    {
        TokenAsk ask;
        TimePoint askedAt;
        Millis life{0};
    };

    [[nodiscard]] Purse &purseOf(const ClientAccount &account, TimePoint now);
    void fillEstimates(Purse &purse, const ClientAccount &account, TimePoint now) const;
    static void noteDemand(Purse &purse, TimePoint now);
    static void dropExpired(Purse &purse, TimePoint now);
    [[nodiscard]] static MicroTokens total(const Purse &purse);
    static void debit(Purse &purse, MicroTokens amount);
    [[nodiscard]] MinterEstimate *choose(Purse &purse, const std::vector<std::string> &tried,
                                         TimePoint now) const;
    [[nodiscard]] TokenAsk ask(Purse &purse, const ClientAccount &account, MinterEstimate &minter,
                               bool isWaiting, TimePoint now);
    void dropOverdue(TimePoint now);

    std::string m_zone;
    SnapshotPtr m_snapshot;
    std::map<std::string, Purse> m_purses;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastId = 0;
};

} // namespace celeryramp
