#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "config/snapshot.h"
#include "core/time.h"
#include "wire/ledger_messages.h"

namespace celeryramp {

/*! @brief A reservation whose votes take longer than this is given up. */
inline constexpr Millis kReservationTimeout{1000};
/*! @brief A new incarnation asks for records no earlier than this after its start. */
inline constexpr Millis kRecoveryDelay{kReservationTimeout + Millis{100}};
/*! @brief A new incarnation vouches for nothing before this. */
inline constexpr Millis kVouchDelay{2 * kReservationTimeout + Millis{100}};

/*! @brief Settings of a ledger home. */
struct LedgerSettings
{
    Millis retention{300'000}; /*!< How long a re-send is recognized; equal on all nodes. */
    bool firstStart = false; /*!< The whole fleet starts for the first time: nothing can be lost. */
};

/*!
 * @brief Keeps records of at-most-once requests at one of their homes.
 *
 * A key has five homes spread over the zones; an attempt may run when more than half grant it. Any
 * two such majorities meet in a home that knows the first. A home that may have lost records, being
 * a new incarnation or a home only since a recent configuration change, records but abstains, until
 * it has every record from the other homes or the retention has passed. When too many homes abstain
 * or are out of reach the attempt is refused as not run: it is never guessed towards running twice.
 */
class LedgerHome
{
public:
    /*! @param self Name of this node's server. @param startedAt Start of this incarnation. */
    LedgerHome(std::string self, LedgerSettings settings, TimePoint startedAt);

    /*! @brief A configuration came in force; homes may have moved. */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*! @return This home's vote. */
    [[nodiscard]] VoteMessage onReserve(const ReserveMessage &message, TimePoint now);

    /*! @brief An attempt ended, or its reservation is released. */
    void onComplete(const CompleteMessage &message, TimePoint now);

    /*! @return All records, and whether this home vouches for having them all. */
    [[nodiscard]] RecordsMessage onRecover(TimePoint now) const;

    /*! @brief Another home sent its records. */
    void onRecords(const RecordsMessage &message, TimePoint now);

    /*! @brief The process was paused for long: what it heard may be incomplete. */
    void onPause(TimePoint now);

    /*! @return Servers whose records this incarnation still wants; empty before it is time to ask.
     */
    [[nodiscard]] std::vector<std::string> wantedRecords(TimePoint now) const;

    /*! @brief Forgets records past the retention. */
    void tick(TimePoint now);

    /*! @return True when every record this home should have is here. */
    [[nodiscard]] bool isComplete(TimePoint now) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_records.size(); }

private:
    struct Entry
    {
        LedgerRecord record;
        TimePoint expiresAt;
    };
    struct Era
    {
        SnapshotPtr snapshot;
        TimePoint endedAt;
    };

    [[nodiscard]] bool vouchesFor(const std::string &key, TimePoint now) const;
    [[nodiscard]] bool wasHomeThroughout(const std::string &key, TimePoint now) const;
    void merge(const LedgerRecord &record, TimePoint now);

    std::string m_self;
    LedgerSettings m_settings;
    TimePoint m_startedAt;
    SnapshotPtr m_snapshot;
    std::deque<Era> m_eras; /*!< Earlier configurations with other servers, oldest first. */
    std::map<std::string, Entry> m_records;
    std::set<std::string> m_recoveredFrom;
};

} // namespace celeryramp
