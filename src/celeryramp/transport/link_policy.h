#pragma once

#include <mutex>
#include <set>
#include <string>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief Cuts and delays of links, for tests that bring about partitions.
 * Settable only when the settings allow faults; without them all links are whole.
 */
class LinkPolicy
{
public:
    /*! @brief Drops all frames to and from nodes of these zones. */
    void cutZones(std::set<std::string> zones);

    /*! @brief Cuts or restores the way to the platform. */
    void cutPlatform(bool cut);

    /*! @brief Delays frames to nodes of other zones. */
    void delayZones(Millis delay);

    [[nodiscard]] bool isCut(const std::string &zone) const;
    [[nodiscard]] bool isPlatformCut() const;
    [[nodiscard]] Millis zoneDelay() const;

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_zones;
    bool m_platformCut = false;
    Millis m_delay{0};
};

} // namespace celeryramp
