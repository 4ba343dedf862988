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
    /*! @param process Of the node; its successor has not announced anything. */
    void onNodeLeaving(const std::string &process, TimePoint now) { m_nodes[process] = now; }
    /*! @brief Records that a node has shut down and executes nothing more. */
    void onNodeClosed(const std::string &process) { m_closedNodes.insert(process); }
    /*! @brief Records that no link to the process is left. */
    void forgetNode(const std::string &process);
    /*! @param startedMillis Start of the server, which identifies its incarnation. */
    void onServerLeaving(const std::string &id, std::uint64_t startedMillis, TimePoint now);

    /*! @return False if no node leaves, so that none needs to be looked up. */
    [[nodiscard]] bool hasNodes() const noexcept
    {
        return !m_nodes.empty() || !m_closedNodes.empty();
    }
    [[nodiscard]] bool isLeaving(const std::string &process) const
    {
        return m_nodes.count(process) > 0;
    }
    [[nodiscard]] bool isClosed(const std::string &process) const
    {
        return m_closedNodes.count(process) > 0;
    }
    [[nodiscard]] bool isLeaving(const directory::BackendServer &server) const
    {
        return m_servers.count({server.id, server.startedMillis}) > 0;
    }

    /*! @brief Forgets nodes and servers that have restarted or are gone by now. */
    void sweep(TimePoint now);

private:
    std::map<std::string, TimePoint> m_nodes; /*!< Last announcements, by process. */
    std::map<std::pair<std::string, std::uint64_t>, TimePoint> m_servers;
    std::set<std::string> m_closedNodes;
};

} // namespace celeryramp::proxy
