#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "gate/ledger_home.h"
#include "wire/ledger_messages.h"

namespace celeryramp {

/*! @brief State of a reservation at the entry node. */
enum class ReservationState {
    Open, /*!< Outstanding votes may still reach a quorum. */
    Granted, /*!< More than half of the homes granted, so the attempt may be sent to a gate. */
    Held, /*!< Another attempt holds the key. */
    Mismatch, /*!< The key was used for a different request. */
    Failed /*!< Too few homes granted the reservation in time. */
};

/*! @brief Counts the votes of one attempt. */
class Reservation
{
public:
    /*! @param homes Homes of the key. @param startedAt Time at which the first request was sent. */
    Reservation(std::vector<std::string> homes, TimePoint startedAt);

    /*! @brief Counts a vote. Repeated votes and votes of other servers are ignored. */
    void onVote(const VoteMessage &vote);

    /*! @brief Records that a home cannot be reached. */
    void onUnreachable(const std::string &home);

    /*! @return Current state. After `kReservationTimeout`, votes no longer grant the reservation.
     */
    [[nodiscard]] ReservationState state(TimePoint now) const;

    /*! @return Record of the attempt that holds the key, if a home sent one. */
    [[nodiscard]] const std::optional<LedgerRecord> &holder() const noexcept { return m_holder; }

    [[nodiscard]] const std::vector<std::string> &homes() const noexcept { return m_homes; }

private:
    std::vector<std::string> m_homes;
    TimePoint m_startedAt;
    std::set<std::string> m_responded;
    std::size_t m_granted = 0;
    std::size_t m_mismatches = 0;
    std::optional<LedgerRecord> m_holder;
};

} // namespace celeryramp
