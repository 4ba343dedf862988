#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/time.h"
#include "directory/backend_server.h"

namespace celeryramp::proxy {

/*!
 * @brief Nodes and servers that have announced that they leave. Kept apart from the directory,
 * whose entries can lapse and return.
 */
class LeavingPeers
{
public:
    void onNodeLeaving(const std::string &host, TimePoint now) { m_nodes[host] = now; }
    /*! @brief Records that a node has shut down and executes nothing more. */
    void onNodeClosed(const std::string &host) { m_closedNodes.insert(host); }
    /*! @brief Records a new or a lost link, after which the node may be another process. */
    void forgetNode(const std::string &host);
    /*! @param startedMillis Start of the server, which identifies its incarnation. */
    void onServerLeaving(const std::string &id, std::uint64_t startedMillis, TimePoint now);

    [[nodiscard]] bool isLeaving(const std::string &host) const { return m_nodes.count(host) > 0; }
    [[nodiscard]] bool isClosed(const std::string &host) const
    {
        return m_closedNodes.count(host) > 0;
    }
    [[nodiscard]] bool isLeaving(const directory::BackendServer &server) const
    {
        return m_servers.count({server.id, server.startedMillis}) > 0;
    }

    /*! @brief Forgets nodes and servers that have restarted or are gone by now. */
    void sweep(TimePoint now);

private:
    std::map<std::string, TimePoint> m_nodes; /*!< Last announcements, by host. */
    std::map<std::pair<std::string, std::uint64_t>, TimePoint> m_servers;
    std::set<std::string> m_closedNodes;
};

} // namespace celeryramp::proxy
