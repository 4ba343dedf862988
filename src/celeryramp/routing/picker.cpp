#include "routing/picker.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

constexpr double kSpillPressure = 0.7; /*!< Below this, calls stay in their zone. */
constexpr double kSpillAdvantage = 0.3; /*!< Difference in pressure that outweighs distance. */

} // namespace internal

std::string Picker::pick(const Snapshot &snapshot, const std::string &service,
                         gsl::span<const std::string> excluded, const IsOpen &isOpen,
                         const LoadTable &loads, const ZoneRamp &zones, TimePoint now)
{
    Candidates home;
    Candidates away;
    Candidates shunned;
    for (const auto &[zone, entry] : snapshot.model().zones) {
        collect(snapshot, service, zone, excluded, isOpen, loads, zones, now,
                zone == m_zone && m_heedsZones ? home : away, shunned);
    }
    if (home.empty() && away.empty()) {
        const auto last = betterOfTwo(shunned, loads, now);
        return last.server == nullptr ? std::string{} : last.server->name;
    }
    const auto near = betterOfTwo(home, loads, now);
    if (near.server != nullptr && near.pressure < internal::kSpillPressure) {
        return near.server->name;
    }
    const auto far = betterOfTwo(away, loads, now);
    if (near.server == nullptr) {
        return far.server->name;
    }
    const bool spill
            = far.server != nullptr && far.pressure + internal::kSpillAdvantage < near.pressure;
    return spill ? far.server->name : near.server->name;
}

void Picker::collect(const Snapshot &snapshot, const std::string &service, const std::string &zone,
                     gsl::span<const std::string> excluded, const IsOpen &isOpen,
                     const LoadTable &loads, const ZoneRamp &zones, TimePoint now, Candidates &fit,
                     Candidates &shunned)
{
    const auto weight = m_heedsZones ? zones.weight(zone, now) : 1.0;
    if (weight <= 0.0) {
        return;
    }
    const bool considered = weight >= 1.0 || m_random.unit() < weight;
    for (const auto *server : snapshot.serversOf(service, zone)) {
        const bool isExcluded
                = std::find(excluded.begin(), excluded.end(), server->name) != excluded.end();
        if (isExcluded || !isOpen(server->name)) {
            continue;
        }
        const bool isFit = considered && !loads.isShunned(server->name, now);
        (isFit ? fit : shunned).push_back(server);
    }
}

Picker::Candidate Picker::betterOfTwo(const Candidates &candidates, const LoadTable &loads,
                                      TimePoint now)
{
    if (candidates.empty()) {
        return {};
    }
    const auto *first = candidates[m_random.below(candidates.size())];
    const auto *second = candidates[m_random.below(candidates.size())];
    const Candidate a{first, loads.pressure(first->name, now)};
    const Candidate b{second, loads.pressure(second->name, now)};
    return b.pressure < a.pressure ? b : a;
}

} // namespace celeryramp
