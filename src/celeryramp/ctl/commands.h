#pragma once

#include <string>
#include <string_view>

#include "core/address.h"
#include "ctl/ctl_output.h"
#include "ctl/operator_client.h"

namespace celeryramp {

/*!
 * @brief Validates the parts in a folder (`zones.json` and so on) as a node would.
 * @return `Bad` with file, place and reason of the first error.
 */
[[nodiscard]] CtlOutput checkFolder(const std::string &folder, bool asJson);

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
