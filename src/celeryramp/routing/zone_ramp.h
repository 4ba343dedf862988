#pragma once

#include <map>
#include <string>

#include "config/snapshot.h"
#include "core/time.h"

namespace celeryramp {

/*! @brief Time until a zone that returns to service has its full weight again. */
inline constexpr Millis kZoneRampTime{5000};

/*!
 * @brief Computes the weight of each zone: the fraction of calls that may consider it.
 * The weight is 0 while the zone is out of service. When the zone returns to service, the weight
 * rises linearly to 1, starting at no less than 0.1, within `kZoneRampTime`.
 */
class ZoneRamp
{
public:
    /*! @brief Applies a new configuration. Zones of the first one start at full weight. */
    void onSnapshot(const Snapshot &snapshot, TimePoint now);

    /*! @return Weight from 0 to 1; 0 for unknown zones and those out of service. */
    [[nodiscard]] double weight(const std::string &zone, TimePoint now) const;

private:
    struct Entry
    {
        bool inService = false;
        TimePoint fullWeightAt;
    };

    std::map<std::string, Entry> m_zones;
    bool m_isFirstSnapshot = true;
};

} // namespace celeryramp
