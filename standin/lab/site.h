#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "caller/call_plan.h"
#include "checker/checker.h"
#include "lab/deployment.h"
#include "lab/process_table.h"

namespace standin {

/*! @brief Where the lab finds programs and puts files. */
struct SitePaths
{
    std::string programs; /*!< Folder of the built programs. */
    std::string certs;
    std::string out; /*!< Logs, settings and journals; emptied at start. */
};

/*! @brief How backend servers of a site behave. */
struct BackendTuning
{
    int workMicros = 2000;
    int warmMs = 1000;
    double coldFactor = 4.0;
};

/*! @brief When a version came in force on each node, after its publication. */
struct Convergence
{
    std::string change;
    std::uint64_t version = 0;
    std::map<std::string, double> millis; /*!< By server; nodes that lack it are absent. */

    /*! @return The quantile, or a negative number without nodes. */
    [[nodiscard]] double quantile(double q) const;
};

/*! @brief A running deployment: platform, backend servers, nodes, callers. */
class Site
{
public:
    Site(DeploymentShape shape, SitePaths paths, std::uint16_t basePort, BackendTuning tuning);

    /*! @brief Starts everything and waits until all nodes are ready. @return False on timeout. */
    [[nodiscard]] bool start(int timeoutMs, bool withBackends = true);

    [[nodiscard]] Deployment &deployment() { return m_deployment; }
    [[nodiscard]] ProcessTable &processes() { return m_processes; }

    /*! @brief Publishes the deployment's parts as the next version. @return The version. */
    std::uint64_t publish();

    /*!
     * @brief Publishes a number that a restored platform gives out again, with content whose digest
     * lies above or below that of the lost version. @return The version.
     */
    std::uint64_t publishAgain(bool above);

    /*! @brief Publishes a body as it is. @return The platform's answer. */
    nlohmann::json publishRaw(const nlohmann::json &body);

    /*!
     * @brief Waits until all named nodes have a version, or time is up.
     * @param servers Servers whose nodes count; empty for all.
     */
    [[nodiscard]] Convergence awaitVersion(const std::string &change, std::uint64_t version,
                                           int timeoutMs, const std::vector<std::string> &servers);

    void startNode(const std::string &server, bool firstStart);
    void startBackend(const std::string &server);
    void killNode(const std::string &server) { m_processes.kill(nodeName(server)); }
    void killBackend(const std::string &server) { m_processes.kill(backendName(server)); }

    /*! @return True when the node says it is ready. */
    [[nodiscard]] bool isReady(const std::string &server) const;

    /*! @return A node's `/state`; null when it does not answer. */
    [[nodiscard]] nlohmann::json state(const std::string &server) const;

    /*! @return A node's `/status`; null when it does not answer. */
    [[nodiscard]] nlohmann::json status(const std::string &server) const;

    /*! @brief Sets a node's link faults: query of `PUT /faults`. */
    void setFaults(const std::string &server, const std::string &query) const;

    /*! @brief Sends an admin request to the platform. @return Its answer. */
    nlohmann::json askPlatform(const std::string &pathAndQuery, const std::string &body = "{}");

    /*! @brief Sends a control request to a backend server. */
    void backendControl(const std::string &server, const std::string &what) const;

    /*! @brief Starts a caller process in the background. */
    void startCaller(const std::string &name, const nlohmann::json &plan);

    /*! @return The call plan's `targets`: all nodes by zone. */
    [[nodiscard]] nlohmann::json targets() const;

    /*! @brief Reads all journals into the history. */
    void readJournals();

    /*! @return Versions that came in force on each server's node, over all its incarnations. */
    [[nodiscard]] std::map<std::string, std::vector<std::uint64_t>> versionsInForce() const;

    [[nodiscard]] RunHistory &history() { return m_history; }
    [[nodiscard]] const std::string &out() const { return m_paths.out; }

    static std::string nodeName(const std::string &server) { return "node-" + server; }
    static std::string backendName(const std::string &server) { return "backend-" + server; }

private:
    [[nodiscard]] nlohmann::json get(const celeryramp::Address &address,
                                     const std::string &path) const;
    [[nodiscard]] bool awaitPort(const celeryramp::Address &address, const std::string &path,
                                 int timeoutMs) const;

    Deployment m_deployment;
    SitePaths m_paths;
    BackendTuning m_tuning;
    ProcessTable m_processes;
    RunHistory m_history;
    struct Publication
    {
        std::int64_t unixMillis = 0;
        std::string digest;
    };
    /*! @return True when a node with this `/status` has the version as last published, or a later
     * one. */
    [[nodiscard]] bool hasReached(const nlohmann::json &status, std::uint64_t version) const;

    std::map<std::uint64_t, Publication> m_published; /*!< By version, the last one of each. */
};

} // namespace standin
