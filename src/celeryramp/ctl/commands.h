#pragma once

#include <string>
#include <string_view>

#include "config/snapshot.h"
#include "core/address.h"
#include "core/result.h"
#include "ctl/ctl_output.h"
#include "ctl/operator_client.h"

namespace celeryramp {

/*! @brief How `checkFolder` checks. */
struct CheckOptions
{
    bool asJson = false;
    bool isStrict = false; /*!< Notes make the result `Bad`. */
    SnapshotPtr inForce; /*!< Version to compare with; may be null. */
};

/*! @return The configuration in a folder (`zones.json` and so on), validated as a node would; or
 * `Bad` with file, place and reason of the first error. */
[[nodiscard]] Result<SnapshotPtr, CtlOutput> loadFolder(const std::string &folder, bool asJson);

/*! @return The configuration in force on a node; `Unreachable` without an answer, `Bad` if it has
 * none. */
[[nodiscard]] Result<SnapshotPtr, CtlOutput> loadInForce(const OperatorClient &client,
                                                         const Address &node);

/*!
 * @brief Validates the configuration in a folder, notes what is hardly meant and compares it.
 * @return `Bad` with file, place and reason of the first error.
 */
[[nodiscard]] CtlOutput checkFolder(const std::string &folder, const CheckOptions &options);

/*! @return Version in force on each node of the site, with laggards marked; `Bad` when some lag. */
[[nodiscard]] CtlOutput siteStatus(const OperatorClient &client, const Address &node, bool asJson);

/*! @return The whole state of one process as JSON. */
[[nodiscard]] CtlOutput dumpNode(const OperatorClient &client, const Address &node);

/*! @return Where a call on a path would go from this node, and why. */
[[nodiscard]] CtlOutput explainPath(const OperatorClient &client, const Address &node,
                                    const std::string &path, bool asJson);

/*! @return The entry to publish for a key `id.secret` of an account. The secret is not shown. */
[[nodiscard]] CtlOutput hashKey(std::string_view key, const std::string &account);

} // namespace celeryramp
