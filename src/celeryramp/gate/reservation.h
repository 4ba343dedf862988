#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "gate/ledger_home.h"
#include "wire/ledger_messages.h"

namespace celeryramp {

/*! @brief Where an entry node stands with a reservation. */
enum class ReservationState {
    Open, /*!< Votes are outstanding and may still decide. */
    Granted, /*!< More than half of the homes granted: the attempt may be handed over. */
    Held, /*!< Another attempt holds the key. */
    Mismatch, /*!< The key was used for a different request. */
    Failed /*!< Too few homes can vouch. */
};

/*! @brief Counts the votes of one attempt. */
class Reservation
{
public:
    /*! @param homes Homes of the key. @param startedAt When the first request was sent. */
    Reservation(std::vector<std::string> homes, TimePoint startedAt);

    /*! @brief A vote arrived; repeated and foreign ones are ignored. */
    void onVote(const VoteMessage &vote);

    /*! @brief A home cannot be reached. */
    void onUnreachable(const std::string &home);

    /*! @return State; votes that come too late no longer grant. */
    [[nodiscard]] ReservationState state(TimePoint now) const;

    /*! @return Record of the attempt that holds the key, if a home sent one. */
    [[nodiscard]] const std::optional<LedgerRecord> &holder() const noexcept { return m_holder; }

    [[nodiscard]] const std::vector<std::string> &homes() const noexcept { return m_homes; }

private:
    std::vector<std::string> m_homes;
    TimePoint m_startedAt;
    std::set<std::string> m_heard;
    std::size_t m_granted = 0;
    std::size_t m_mismatches = 0;
    std::optional<LedgerRecord> m_holder;
};

} // namespace celeryramp
