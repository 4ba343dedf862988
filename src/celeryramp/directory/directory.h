#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "directory/backend_server.h"
#include "directory/routing_table.h"

namespace celeryramp::directory {

/*! @brief Immutable snapshot of the published state that a node has received. */
struct Directory
{
    std::shared_ptr<const RoutingTable> routing; /*!< Null until a configuration is accepted. */
    std::map<std::string, BackendServer> servers; /*!< By id. */
    /*! Servers by service; at each address only the newest incarnation. */
    std::map<std::string, std::vector<const BackendServer *>> byService;
    std::set<std::string> evacuatedZones;
    std::int64_t revision = 0;

    /*! @return The server with this id, or null. */
    [[nodiscard]] const BackendServer *findServer(const std::string &id) const
    {
        const auto it = servers.find(id);
        return it == servers.end() ? nullptr : &it->second;
    }

    /*! @return The newest incarnation of a server at this address, or null. */
    [[nodiscard]] const BackendServer *findServerAt(const Address &address) const
    {
        const BackendServer *newest = nullptr;
        for (const auto &[id, server] : servers) {
            if (server.address == address
                && (newest == nullptr || server.startedMillis > newest->startedMillis)) {
                newest = &server;
            }
        }
        return newest;
    }
};

/*! @brief Shared snapshot; a request holds the one with which it started. */
using DirectoryPtr = std::shared_ptr<const Directory>;

} // namespace celeryramp::directory
