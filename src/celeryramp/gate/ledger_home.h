#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "config/snapshot.h"
#include "core/time.h"
#include "wire/ledger_messages.h"

namespace celeryramp {

/*! @brief Time after which a reservation without a quorum of votes fails. */
inline constexpr Millis kReservationTimeout{1000};
/*! @brief Time from the start of a new incarnation until it requests records from other homes. */
inline constexpr Millis kRecoveryDelay{kReservationTimeout + Millis{100}};
/*! @brief Minimum time from the start of a new incarnation until it grants a reservation. */
inline constexpr Millis kVoteDelay{2 * kReservationTimeout + Millis{100}};

/*! @brief Settings of a ledger home. */
struct LedgerSettings
{
    Millis retention{300'000}; /*!< Time for which a repeated request is recognized; must be the
                                  same on all nodes. */
    bool firstStart = false; /*!< All nodes start for the first time, so no records can be lost. */
};

/*!
 * @brief Replica of the ledger that records at-most-once requests.
 *
 * Each key has up to five homes, the replicas that store its record, spread over the zones. An
 * attempt may run if more than half of them grant it. Any two such majorities share a home, which
 * knows the earlier attempt.
 *
 * A home may lack records if it is a new incarnation or became a home only by a recent
 * configuration change. It then stores reservations but abstains from voting until it has all
 * records from the other homes or the retention has passed. If too many homes abstain or are
 * unreachable, the attempt is refused as not run, so that a request never runs twice.
 */
class LedgerHome
{
public:
    /*! @param self Name of this node's server. @param startedAt Start of this incarnation. */
    LedgerHome(std::string self, LedgerSettings settings, TimePoint startedAt);

    /*! @brief Applies a new configuration, which may assign keys to other homes. */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*! @brief Stores a reservation unless another attempt holds the key. @return This home's vote.
     */
    [[nodiscard]] VoteMessage onReserve(const ReserveMessage &message, TimePoint now);

    /*! @brief Stores the result of an attempt that ended, or releases its reservation. */
    void onComplete(const CompleteMessage &message, TimePoint now);

    /*! @return All unexpired records, and whether they are complete. */
    [[nodiscard]] RecordsMessage onRecover(TimePoint now) const;

    /*! @brief Merges the records that another home sent. */
    void onRecords(const RecordsMessage &message, TimePoint now);

    /*! @brief Starts recovery anew after a long pause, in which messages may have been missed. */
    void onPause(TimePoint now);

    /*! @return Servers whose records are still missing; empty before `kRecoveryDelay`. */
    [[nodiscard]] std::vector<std::string> recoverySources(TimePoint now) const;

    /*! @brief Removes expired records. */
    void tick(TimePoint now);

    /*! @return True if this home has all records that it should have. */
    [[nodiscard]] bool isComplete(TimePoint now) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }

private:
    struct Entry
    {
        LedgerRecord record;
        TimePoint expiresAt;
    };
    struct PastConfiguration
    {
        SnapshotPtr snapshot;
        TimePoint endedAt;
    };

    [[nodiscard]] bool canVote(const std::string &key, TimePoint now) const;
    [[nodiscard]] bool wasHomeThroughout(const std::string &key, TimePoint now) const;
    void merge(const LedgerRecord &record, TimePoint now);

    std::string m_self;
    LedgerSettings m_settings;
    TimePoint m_startedAt;
    SnapshotPtr m_snapshot;
    std::deque<PastConfiguration>
            m_pastConfigurations; /*!< With other servers or zones; oldest first. */
    std::map<std::string, Entry> m_records;
    std::set<std::string> m_recoveredFrom;
};

} // namespace celeryramp
