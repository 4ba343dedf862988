#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/address.h"

namespace standin {

/*! @brief Size and shape of a site. */
struct DeploymentShape
{
    std::string name;
    std::vector<std::string> zones;
    std::vector<std::string> services;
    int serversPerService = 3; /*!< Over all zones, placed in turn. */
    int slots = 12;
    int accounts = 8;
    int zoneDelayMs = 0; /*!< One way, between nodes of different zones. */
    double rate = 60.0; /*!< Of a small account; the first three are four times as large. */
    double burstSeconds = 1.0; /*!< Burst as seconds of the rate. */
    int callerThreads = 64;
    int peerSeeds = 3;
    std::vector<std::string> without; /*!< Mechanisms that nodes switch off. */
    std::string distribution = "tree";
};

/*! @return The shape of a deployment of the brief: `souss` or `hokkaido`; throws for others. */
[[nodiscard]] DeploymentShape knownShape(const std::string &name);

/*! @return A site of so many nodes in three zones, for measurements of control. */
[[nodiscard]] DeploymentShape fleetShape(int nodes);

/*! @brief One server with its node, and all its addresses. */
struct ServerPlace
{
    std::string name;
    std::string service;
    std::string zone;
    celeryramp::Address callers;
    celeryramp::Address inside;
    celeryramp::Address peers;
    celeryramp::Address operators;
    celeryramp::Address backend;
};

/*! @brief One client account with a key that only its callers know. */
struct AccountPlace
{
    std::string name;
    std::string keyId;
    std::string key; /*!< `id.secret`. */
    double rate = 0.0;
    double burst = 0.0;
};

/*! @brief A whole site: places, published parts and settings files. */
class Deployment
{
public:
    /*! @param basePort First of the ports used. */
    Deployment(DeploymentShape shape, std::uint16_t basePort);

    [[nodiscard]] const DeploymentShape &shape() const { return m_shape; }
    [[nodiscard]] const std::vector<ServerPlace> &servers() const { return m_servers; }
    [[nodiscard]] const std::vector<AccountPlace> &accounts() const { return m_accounts; }
    [[nodiscard]] const celeryramp::Address &platform() const { return m_platform; }
    [[nodiscard]] const ServerPlace &server(const std::string &name) const;

    /*! @return All parts as they are now, to be published. */
    [[nodiscard]] std::map<std::string, std::string> parts() const;

    /*! @brief Changes what the next `parts` returns. */
    void setZoneStatus(const std::string &zone, bool inService);
    void withdrawKey(const std::string &account);
    void setRate(const std::string &account, double rate, double burst);
    void touch(); /*!< Changes a target, for changes that matter to nobody. */

    /*! @return Text of a node's settings file. */
    [[nodiscard]] std::string settings(const ServerPlace &place, const std::string &certs,
                                       bool firstStart, const std::string &logLevel) const;

private:
    DeploymentShape m_shape;
    std::vector<ServerPlace> m_servers;
    std::vector<AccountPlace> m_accounts;
    celeryramp::Address m_platform;
    nlohmann::json m_zones;
    nlohmann::json m_servicePart;
    nlohmann::json m_accountPart;
    nlohmann::json m_keyPart;
    nlohmann::json m_serverPart;
};

} // namespace standin
