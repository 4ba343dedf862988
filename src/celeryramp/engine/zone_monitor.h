#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/random.h"
#include "directory/directory.h"
#include "engine/engine_settings.h"
#include "links/peer_links.h"
#include "observe/metrics_registry.h"
#include "proxy/zone_reachability.h"

namespace celeryramp::engine {

/*! @brief Applies `proxy::ZoneReachability` to the links of a node: pings peers, and tells which
 * zones are suspected to be cut off. */
class ZoneMonitor
{
public:
    ZoneMonitor(const EngineSettings &settings, links::PeerLinks &peers, MetricsRegistry &metrics,
                std::uint64_t seed);

    /*! @brief Applies the published servers, whose hosts are the nodes of the zones. */
    void onDirectory(const directory::DirectoryPtr &view);
    /*! @brief Records a call to a peer. */
    void onSent(const Address &peer, TimePoint now);
    /*! @brief Records that anything arrived from a peer. */
    void onHeard(const Address &peer, TimePoint now);
    /*! @brief Pings silent zones. @return Peers of the zones that are suspected from now on. */
    [[nodiscard]] std::vector<Address> poll(TimePoint now);
    [[nodiscard]] bool isSuspected(const std::string &zone) const
    {
        return m_zones.isSuspected(zone);
    }

private:
    void ping(const std::string &zone, TimePoint now);

    const EngineSettings &m_settings;
    links::PeerLinks &m_peers;
    MetricsRegistry &m_metrics;
    RandomEngine m_random;
    proxy::ZoneReachability m_zones;
    directory::DirectoryPtr m_view;
    std::map<std::string, std::string> m_zoneByHost; /*!< Of other nodes. */
    std::map<std::string, std::vector<std::string>> m_hostsByZone;
};

} // namespace celeryramp::engine
