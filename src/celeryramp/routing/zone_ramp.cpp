#include "routing/zone_ramp.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

constexpr double kFirstWeight = 0.1;

} // namespace internal

void ZoneRamp::onSnapshot(const Snapshot &snapshot, TimePoint now)
{
    std::map<std::string, Entry> zones;
    for (const auto &[name, zone] : snapshot.model().zones) {
        const bool inService = zone.status == ZoneStatus::InService;
        const auto known = m_zones.find(name);
        const bool was = known != m_zones.end() && known->second.inService;
        Entry entry{inService, known != m_zones.end() ? known->second.fullAt : now};
        if (inService && !was && !m_first) {
            entry.fullAt = now + kZoneRampTime;
        }
        zones.emplace(name, entry);
    }
    m_zones = std::move(zones);
    m_first = false;
}

double ZoneRamp::weight(const std::string &zone, TimePoint now) const
{
    const auto it = m_zones.find(zone);
    if (it == m_zones.end() || !it->second.inService) {
        return 0.0;
    }
    const auto left = secondsBetween(now, it->second.fullAt);
    const auto whole = std::chrono::duration<double>(kZoneRampTime).count();
    return std::clamp(1.0 - left / whole, internal::kFirstWeight, 1.0);
}

} // namespace celeryramp
