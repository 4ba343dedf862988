#pragma once

#include <string>
#include <vector>

#include "core/time.h"
#include "distribution/outbox.h"
#include "membership/rumour_store.h"
#include "membership/topology.h"

namespace celeryramp {

/*!
 * @brief Spreads rumours to all nodes.
 *
 * A new rumour is sent along the tree at once. Nodes that miss it are repaired when the digests in
 * heartbeats differ. A wrong membership view only makes such a repair necessary; the rumours
 * themselves are hints.
 */
class RumourDistributor
{
public:
    /*! @param self Name of this node's server. @param zone Its zone. */
    RumourDistributor(std::string self, std::string zone);

    /*! @brief Stores rumours that originate at this node and sends the new ones to all zones. */
    void publish(const std::vector<Rumour> &rumours, const Topology &topology,
                 const IsUsable &isUsable, TimePoint now, Outbox &out);

    /*!
     * @brief Stores rumours received from a peer and forwards the new ones.
     * @return The rumours that were new to this node.
     */
    std::vector<Rumour> onMessage(const std::string &from, const RumourMessage &message,
                                  const Topology &topology, const IsUsable &isUsable, TimePoint now,
                                  Outbox &out);

    /*! @brief Sends all rumours to the sender if its digest differs from that of this node. */
    void onHeartbeat(const HeartbeatMessage &message, TimePoint now, Outbox &out);

    /*! @brief Removes expired rumours. */
    void tick(TimePoint now) { m_store.expire(now); }

    [[nodiscard]] const RumourStore &store() const noexcept { return m_store; }

private:
    [[nodiscard]] std::vector<Rumour> applyAll(const std::vector<Rumour> &rumours, TimePoint now);
    void spread(const std::vector<Rumour> &newRumours, const std::string &root, bool acrossZones,
                const Topology &topology, const IsUsable &isUsable, Outbox &out) const;

    std::string m_self;
    std::string m_zone;
    RumourStore m_store;
};

} // namespace celeryramp
