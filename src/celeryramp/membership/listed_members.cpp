#include "membership/listed_members.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

/*! Low bits of a sequence, which hold the index of the list. */
constexpr unsigned kIndexBits = 32;

[[nodiscard]] std::uint64_t highestHistory(const RumourStore &known)
{
    std::uint64_t highest = 0;
    for (const auto kind : {RumourKind::ListedLeaving, RumourKind::ListedLive}) {
        for (const auto &[server, sequence] : known.withPrefix(kind, "")) {
            highest = std::max(highest, sequence >> kIndexBits);
        }
    }
    return highest;
}

} // namespace internal

std::vector<Rumour> ListedMembers::onList(std::uint64_t index, const std::set<std::string> &leaving,
                                          bool restored, const std::vector<std::string> &servers,
                                          const RumourStore &known)
{
    m_history = std::max(internal::highestHistory(known), m_history + (restored ? 1 : 0));
    const auto sequence = (m_history << internal::kIndexBits) + index;
    std::vector<Rumour> rumours;
    for (const auto &name : servers) {
        const bool listed = leaving.count(name) > 0;
        const auto left = known.sequence(RumourKind::ListedLeaving, name).value_or(0);
        const auto live = known.sequence(RumourKind::ListedLive, name).value_or(0);
        const bool differs = listed != (left > live);
        const bool isForgotten = restored && !listed;
        if (differs && !isForgotten && sequence > std::max(left, live)) {
            rumours.push_back({listed ? RumourKind::ListedLeaving : RumourKind::ListedLive, name,
                               sequence, static_cast<std::uint32_t>(m_lifetime.count())});
        }
    }
    return rumours;
}

} // namespace celeryramp
