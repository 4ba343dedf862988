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

/*! @brief All entities of one configuration, as read from its parts. */
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
 * @brief Immutable, validated configuration with the lookups that requests need.
 * Built only from models that passed validation, so that no lookup meets a dangling name.
 */
class Snapshot
{
public:
    /*! @param stamp Version and digest. @param model A validated model. */
    Snapshot(ConfigStamp stamp, ConfigModel model);

    [[nodiscard]] const ConfigStamp &stamp() const noexcept { return m_stamp; }
    [[nodiscard]] const ConfigModel &model() const noexcept { return m_model; }

    /*! @return The route with the longest prefix of whole segments, or null. */
    [[nodiscard]] const Route *findRoute(std::string_view path) const;

    /*!
     * @brief Checks a presented key `id.secret` in constant time.
     * @return The account the key belongs to, or null.
     */
    [[nodiscard]] const ClientAccount *findAccountByKey(std::string_view presented) const;

    /*! @return True when the key id is published and belongs to the account. */
    [[nodiscard]] bool isKeyGranted(const std::string &keyId, const std::string &account) const;

    /*! @return Servers of one service in a zone; empty when there are none. */
    [[nodiscard]] gsl::span<const BackendServer *const> serversOf(const std::string &service,
                                                                  const std::string &zone) const;

    /*! @return Servers of one zone in name order. */
    [[nodiscard]] gsl::span<const BackendServer *const> serversIn(const std::string &zone) const;

    /*! @return The server, or null. */
    [[nodiscard]] const BackendServer *findServer(const std::string &name) const;

    /*! @return The account, or null. */
    [[nodiscard]] const ClientAccount *findAccount(const std::string &name) const;

    /*! @return The class of work, or null. */
    [[nodiscard]] const WorkClass *findClass(const std::string &name) const;

    /*! @return True when the zone is known and in service. */
    [[nodiscard]] bool isZoneInService(const std::string &zone) const;

private:
    using ServerList = std::vector<const BackendServer *>;

    ConfigStamp m_stamp;
    ConfigModel m_model;
    std::unordered_map<std::string_view, const Route *> m_routes;
    std::map<std::string, std::map<std::string, ServerList>> m_byService;
    std::map<std::string, ServerList> m_byZone;
};

/*! @brief Shared ownership of the snapshot that a request started with. */
using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace celeryramp
