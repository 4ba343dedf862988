#include "routing/zone_ramp.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

constexpr double kInitialWeight = 0.1;

} // namespace internal

void ZoneRamp::onSnapshot(const Snapshot &snapshot, TimePoint now)
{
    std::map<std::string, Entry> zones;
    for (const auto &[name, zone] : snapshot.model().zones) {
        const bool inService = zone.status == ZoneStatus::InService;
        const auto previous = m_zones.find(name);
        const bool wasInService = previous != m_zones.end() && previous->second.inService;
        Entry entry{inService, previous != m_zones.end() ? previous->second.fullWeightAt : now};
        if (inService && !wasInService && !m_isFirstSnapshot) {
            entry.fullWeightAt = now + kZoneRampTime;
        }
        zones.emplace(name, entry);
    }
    m_zones = std::move(zones);
    m_isFirstSnapshot = false;
}

double ZoneRamp::weight(const std::string &zone, TimePoint now) const
{
    const auto it = m_zones.find(zone);
    if (it == m_zones.end() || !it->second.inService) {
        return 0.0;
    }
    const auto remaining = secondsBetween(now, it->second.fullWeightAt);
    const auto rampSeconds = std::chrono::duration<double>(kZoneRampTime).count();
    return std::clamp(1.0 - remaining / rampSeconds, internal::kInitialWeight, 1.0);
}

} // namespace celeryramp
