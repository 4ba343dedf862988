#include "transport/link_policy.h"

namespace celeryramp {

void LinkPolicy::cutZones(std::set<std::string> zones)
{
    const std::lock_guard lock{m_mutex};
    m_zones = std::move(zones);
}

void LinkPolicy::cutPlatform(bool cut)
{
    const std::lock_guard lock{m_mutex};
    m_platformCut = cut;
}

void LinkPolicy::delayZones(Millis delay)
{
    const std::lock_guard lock{m_mutex};
    m_delay = delay;
}

bool LinkPolicy::isCut(const std::string &zone) const
{
    const std::lock_guard lock{m_mutex};
    return m_zones.count(zone) > 0;
}

bool LinkPolicy::isPlatformCut() const
{
    const std::lock_guard lock{m_mutex};
    return m_platformCut;
}

Millis LinkPolicy::zoneDelay() const
{
    const std::lock_guard lock{m_mutex};
    return m_delay;
}

} // namespace celeryramp
