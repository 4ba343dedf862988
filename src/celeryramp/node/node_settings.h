#pragma once

#include <string>
#include <vector>

#include "core/address.h"
#include "core/mechanisms.h"
#include "core/result.h"
#include "core/time.h"
#include "distribution/distribution_mode.h"
#include "gate/ledger_home.h"
#include "observe/log.h"
#include "transport/tls_files.h"

namespace celeryramp {

/*! @brief Settings of one node, as read from its TOML file. */
struct NodeSettings
{
    std::string server; /*!< Name of the backend server beside this node. */
    std::string zone;

    Address callers; /*!< Listener for outside callers. */
    std::size_t callerThreads = 64;
    std::size_t maxBodyBytes = 1024 * 1024;
    Address inside; /*!< Loopback listener for the backend server's own calls. */
    std::size_t insideThreads = 32;

    Address peers; /*!< Listener for other nodes. */
    std::vector<Address> seeds;
    TlsFiles tls;

    Address operators; /*!< Operator port. */
    std::string operatorToken; /*!< Content of the token file; empty on loopback. */

    Address backend; /*!< The backend server itself. */
    int slots = 1; /*!< Maximum concurrent calls when the server is warm. */
    std::size_t queueCapacity = 256;

    Address platform;
    Millis startSpread{8000}; /*!< First platform reads of the nodes are spread over this time. */

    LedgerSettings ledger;
    LogLevel logLevel = LogLevel::Info;
    bool faultsAllowed = false; /*!< Allows the operator port to cut links, for tests. */
    Mechanisms mechanisms; /*!< All enabled except in tests. */
    /*! Other modes are baselines for comparison. */
    DistributionMode distribution = DistributionMode::Tree;
};

/*! @brief Error in a settings file, as one line with its position. */
struct SettingsError
{
    std::string text;
};

/*!
 * @brief Reads and checks a settings file.
 * @return The settings, or the first error as `file:line: key: reason`.
 */
[[nodiscard]] Result<NodeSettings, SettingsError> loadNodeSettings(const std::string &path);

} // namespace celeryramp
