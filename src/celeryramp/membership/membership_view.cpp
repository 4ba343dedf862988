#include "membership/membership_view.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

/*! Number of observers that must suspect a member before it counts as down. */
constexpr std::size_t kDownQuorum = 2;

} // namespace internal

const char *memberStateText(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Down:
        return "down";
    case MemberState::Leaving:
        break;
    }
    return "leaving";
}

MemberState MembershipView::state(const std::string &server) const
{
    const auto count = suspicionCount(server);
    if (count >= internal::kDownQuorum) {
        return MemberState::Down;
    }
    if (isLeaving(server)) {
        return MemberState::Leaving;
    }
    return count > 0 ? MemberState::Suspected : MemberState::Alive;
}

bool MembershipView::isDown(const std::string &server) const
{
    return suspicionCount(server) >= internal::kDownQuorum;
}

bool MembershipView::isLeaving(const std::string &server) const
{
    if (const auto announced = m_rumours.sequence(RumourKind::Leaving, server);
        announced && *announced >= incarnation(server)) {
        return true;
    }
    const auto listedLeaving = m_rumours.sequence(RumourKind::ListedLeaving, server);
    const auto listedLive = m_rumours.sequence(RumourKind::ListedLive, server);
    return listedLeaving && (!listedLive || *listedLeaving > *listedLive);
}

std::uint64_t MembershipView::incarnation(const std::string &server) const
{
    return m_rumours.sequence(RumourKind::Alive, server).value_or(0);
}

std::size_t MembershipView::suspicionCount(const std::string &server) const
{
    const auto currentIncarnation = incarnation(server);
    const auto suspicions = m_rumours.withPrefix(RumourKind::Suspicion, server + " ");
    return static_cast<std::size_t>(
            std::count_if(suspicions.begin(), suspicions.end(),
                          [&](const auto &entry) { return entry.second >= currentIncarnation; }));
}

} // namespace celeryramp
