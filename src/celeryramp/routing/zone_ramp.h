#pragma once

#include <map>
#include <string>

#include "config/snapshot.h"
#include "core/time.h"

namespace celeryramp {

/*! @brief Time over which a returning zone is given its full part again. */
inline constexpr Millis kZoneRampTime{5000};

/*! @brief Share of calls that may consider a zone: 0 out of service, rising to 1 after return. */
class ZoneRamp
{
public:
    /*! @brief A configuration came in force. Zones of the first one need no ramp. */
    void onSnapshot(const Snapshot &snapshot, TimePoint now);

    /*! @return 0 to 1; 0 for unknown zones and those out of service. */
    [[nodiscard]] double weight(const std::string &zone, TimePoint now) const;

private:
    struct Entry
    {
        bool inService = false;
        TimePoint fullAt;
    };

    std::map<std::string, Entry> m_zones;
    bool m_first = true;
};

} // namespace celeryramp
