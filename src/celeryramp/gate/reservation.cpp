#include "gate/reservation.h"

#include <algorithm>

#include "gate/ledger_homes.h"

namespace celeryramp {

Reservation::Reservation(std::vector<std::string> homes, TimePoint startedAt)
    : m_homes{std::move(homes)}, m_startedAt{startedAt}
{ }

void Reservation::onVote(const VoteMessage &vote)
{
    const bool isHome = std::find(m_homes.begin(), m_homes.end(), vote.home) != m_homes.end();
    if (!isHome || !m_responded.insert(vote.home).second) {
        return;
    }
    m_granted += vote.vote == Vote::Granted ? 1 : 0;
    m_mismatches += vote.vote == Vote::Mismatch ? 1 : 0;
    if (vote.vote != Vote::Held || vote.record.empty()) {
        return;
    }
    if (!m_holder || vote.record.front().state == RecordState::Done) {
        m_holder = vote.record.front();
    }
}

void Reservation::onUnreachable(const std::string &home)
{
    if (std::find(m_homes.begin(), m_homes.end(), home) != m_homes.end()) {
        m_responded.insert(home);
    }
}

ReservationState Reservation::state(TimePoint now) const
{
    const bool isLate = now - m_startedAt >= kReservationTimeout;
    const auto quorum = ledgerQuorum(m_homes.size());
    if (!isLate && !m_homes.empty() && m_granted >= quorum) {
        return ReservationState::Granted;
    }
    const auto outstanding = m_homes.size() - m_responded.size();
    if (!isLate && m_granted + outstanding >= quorum && outstanding > 0) {
        return ReservationState::Open;
    }
    if (m_mismatches > 0) {
        return ReservationState::Mismatch;
    }
    return m_holder ? ReservationState::Held : ReservationState::Failed;
}

} // namespace celeryramp
