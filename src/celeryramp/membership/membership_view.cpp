#include "membership/membership_view.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

constexpr std::size_t kObserversToConcur = 2;

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
    const auto n = suspicions(server);
    if (n >= internal::kObserversToConcur) {
        return MemberState::Down;
    }
    if (isLeaving(server)) {
        return MemberState::Leaving;
    }
    return n > 0 ? MemberState::Suspected : MemberState::Alive;
}

bool MembershipView::isDown(const std::string &server) const
{
    return suspicions(server) >= internal::kObserversToConcur;
}

bool MembershipView::isLeaving(const std::string &server) const
{
    if (const auto left = m_rumours.sequence(RumourKind::Leaving, server);
        left && *left >= incarnation(server)) {
        return true;
    }
    const auto listed = m_rumours.sequence(RumourKind::ListedLeaving, server);
    const auto live = m_rumours.sequence(RumourKind::ListedLive, server);
    return listed && (!live || *listed > *live);
}

std::uint64_t MembershipView::incarnation(const std::string &server) const
{
    return m_rumours.sequence(RumourKind::Alive, server).value_or(0);
}

std::size_t MembershipView::suspicions(const std::string &server) const
{
    const auto alive = incarnation(server);
    const auto all = m_rumours.withPrefix(RumourKind::Suspicion, server + " ");
    return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](const auto &entry) { return entry.second >= alive; }));
}

} // namespace celeryramp
