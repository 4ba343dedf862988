#include "routing/picker.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

constexpr double kSpillPressure = 0.7; // Below this pressure, calls stay in their zone.
constexpr double kSpillAdvantage = 0.3; // Pressure difference that justifies another zone.

} // namespace internal

std::string Picker::pick(const Snapshot &snapshot, const std::string &service,
                         gsl::span<const std::string> excluded, const IsOpen &isOpen,
                         const LoadTable &loads, const ZoneRamp &zones, TimePoint now)
{
    Candidates local;
    Candidates remote;
    Candidates fallback;
    for (const auto &[zone, entry] : snapshot.model().zones) {
        collect(snapshot, service, zone, excluded, isOpen, loads, zones, now,
                zone == m_zone && m_isZoneAware ? local : remote, fallback);
    }
    if (local.empty() && remote.empty()) {
        const auto bestFallback = betterOfTwo(fallback, loads, now);
        return bestFallback.server == nullptr ? std::string{} : bestFallback.server->name;
    }
    const auto bestLocal = betterOfTwo(local, loads, now);
    if (bestLocal.server != nullptr && bestLocal.pressure < internal::kSpillPressure) {
        return bestLocal.server->name;
    }
    const auto bestRemote = betterOfTwo(remote, loads, now);
    if (bestLocal.server == nullptr) {
        return bestRemote.server->name;
    }
    const bool spill = bestRemote.server != nullptr
            && bestRemote.pressure + internal::kSpillAdvantage < bestLocal.pressure;
    return spill ? bestRemote.server->name : bestLocal.server->name;
}

void Picker::collect(const Snapshot &snapshot, const std::string &service, const std::string &zone,
                     gsl::span<const std::string> excluded, const IsOpen &isOpen,
                     const LoadTable &loads, const ZoneRamp &zones, TimePoint now,
                     Candidates &preferred, Candidates &fallback)
{
    const auto weight = m_isZoneAware ? zones.weight(zone, now) : 1.0;
    if (weight <= 0.0) {
        return;
    }
    const bool isZoneConsidered = weight >= 1.0 || m_random.unit() < weight;
    for (const auto *server : snapshot.serversOf(service, zone)) {
        const bool isExcluded
                = std::find(excluded.begin(), excluded.end(), server->name) != excluded.end();
        if (isExcluded || !isOpen(server->name)) {
            continue;
        }
        const bool isPreferred = isZoneConsidered && !loads.isBackingOff(server->name, now);
        (isPreferred ? preferred : fallback).push_back(server);
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
