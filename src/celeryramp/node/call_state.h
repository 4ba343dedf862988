#pragma once

#include <string>
#include <vector>

#include "config/snapshot.h"
#include "core/time.h"
#include "node/fleet_view.h"
#include "wire/call_message.h"

namespace celeryramp {

/*! @brief Where a call comes from. */
enum class CallOrigin {
    External, /*!< A caller outside the mesh. */
    LocalServer /*!< The backend server beside this node. */
};

/*! @brief State of one call. Each processing step fills in its part. */
struct CallState
{
    CallOrigin origin = CallOrigin::External;
    SnapshotPtr snapshot; /*!< Configuration used for the whole call. */
    FleetViewPtr fleet;
    const Route *route = nullptr;
    const WorkClass *workClass = nullptr;
    const ClientAccount *account = nullptr; /*!< Null on open routes, which need no key. */
    std::string contextToken; /*!< Of the causing call; empty for external calls. */
    std::string idempotencyKey; /*!< Key sent by the caller; empty when absent. */
    TimePoint startedAt;
    TimePoint deadline;
    CallMessage message;
    std::vector<std::string> ledgerHomes; /*!< Ledger homes of this call's reservation. */
    bool retried = false; /*!< An attempt failed while retry budgets are on. */
};

} // namespace celeryramp
