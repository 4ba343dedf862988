#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <gsl/span>

#include "config/api_key.h"
#include "config/availability_zone.h"
#include "config/backend_server.h"
#include "config/client_account.h"
#include "config/manifest.h"
#include "config/route.h"
#include "config/service.h"
#include "config/work_class.h"

namespace celeryramp {

/*! @brief Entities of one configuration, as read from its parts. */
struct ConfigModel
{
    std::map<std::string, AvailabilityZone> zones;
    std::map<std::string, Service> services;
    std::map<std::string, WorkClass> classes;
    std::vector<Route> routes;
    std::map<std::string, ClientAccount> accounts;
    std::map<std::string, ApiKey> keys;
    std::map<std::string, BackendServer> servers;
};

/*!
 * @brief Immutable, validated configuration with lookups for request processing.
 * It is built only from validated models, so every name in it resolves.
 */
class Snapshot
{
public:
    /*! @param stamp Version and digest. @param model A validated model. */
    Snapshot(ConfigStamp stamp, ConfigModel model);

    [[nodiscard]] const ConfigStamp &stamp() const noexcept { return m_stamp; }
    [[nodiscard]] const ConfigModel &model() const noexcept { return m_model; }

    /*! @return The route with the longest prefix that matches complete path segments, or null. A
     * query string in the path is ignored. */
    [[nodiscard]] const Route *findRoute(std::string_view path) const;

    /*!
     * @brief Verifies a key of the form `id.secret`; the hash comparison takes constant time.
     * @return The account to which the key belongs, or null if the key is malformed, unknown or
     * wrong.
     */
    [[nodiscard]] const ClientAccount *findAccountByKey(std::string_view presented) const;

    /*! @return True if the key id is published and belongs to the account. */
    [[nodiscard]] bool isKeyGranted(const std::string &keyId, const std::string &account) const;

    /*! @return Servers of a service in a zone, in name order; empty if there are none. */
    [[nodiscard]] gsl::span<const BackendServer *const> serversOf(const std::string &service,
                                                                  const std::string &zone) const;

    /*! @return Servers in a zone, in name order; empty if there are none. */
    [[nodiscard]] gsl::span<const BackendServer *const> serversIn(const std::string &zone) const;

    /*! @return The server, or null if it is not defined. */
    [[nodiscard]] const BackendServer *findServer(const std::string &name) const;

    /*! @return The account, or null if it is not defined. */
    [[nodiscard]] const ClientAccount *findAccount(const std::string &name) const;

    /*! @return The work class, or null if it is not defined. */
    [[nodiscard]] const WorkClass *findClass(const std::string &name) const;

    /*! @return True if the zone is defined and in service. */
    [[nodiscard]] bool isZoneInService(const std::string &zone) const;

private:
    using ServerList = std::vector<const BackendServer *>;

    ConfigStamp m_stamp;
    ConfigModel m_model;
    std::unordered_map<std::string_view, const Route *> m_routes;
    std::map<std::string, std::map<std::string, ServerList>> m_byService;
    std::map<std::string, ServerList> m_byZone;
};

/*! @brief Shared ownership of a snapshot; a request keeps the one with which it started. */
using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace celeryramp
