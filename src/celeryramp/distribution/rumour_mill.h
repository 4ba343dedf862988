#pragma once

#include <string>
#include <vector>

#include "core/time.h"
#include "distribution/outbox.h"
#include "membership/rumour_store.h"
#include "membership/topology.h"

namespace celeryramp {

/*!
 * @brief Spreads small facts: down the tree at once, repaired by heartbeat digests.
 * A wrong membership view costs a repair; the facts themselves are hints.
 */
class RumourMill
{
public:
    /*! @param self Name of this node's server. @param zone Its zone. */
    RumourMill(std::string self, std::string zone);

    /*! @brief This node learned facts itself; those that are new travel on. */
    void publish(const std::vector<Rumour> &rumours, const Topology &topology,
                 const IsUsable &isUsable, TimePoint now, Outbox &out);

    /*! @brief A peer sent facts. @return Those that were new here. */
    std::vector<Rumour> onMessage(const std::string &from, const RumourMessage &message,
                                  const Topology &topology, const IsUsable &isUsable, TimePoint now,
                                  Outbox &out);

    /*! @brief A peer's heartbeat tells its digest; a difference starts an exchange. */
    void onHeartbeat(const HeartbeatMessage &message, TimePoint now, Outbox &out);

    /*! @brief Forgets what has ended. */
    void tick(TimePoint now) { m_store.expire(now); }

    [[nodiscard]] const RumourStore &store() const noexcept { return m_store; }

private:
    [[nodiscard]] std::vector<Rumour> applyAll(const std::vector<Rumour> &rumours, TimePoint now);
    void spread(const std::vector<Rumour> &fresh, const std::string &root, bool acrossZones,
                const Topology &topology, const IsUsable &isUsable, Outbox &out) const;

    std::string m_self;
    std::string m_zone;
    RumourStore m_store;
};

} // namespace celeryramp
