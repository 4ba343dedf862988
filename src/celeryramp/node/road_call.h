#pragma once

#include <string>
#include <vector>

#include "config/snapshot.h"
#include "core/time.h"
#include "node/fleet_view.h"
#include "wire/call_message.h"

namespace celeryramp {

/*! @brief By which door a call came in. */
enum class Door {
    Outside, /*!< A caller. */
    Inside /*!< The backend server beside this node. */
};

/*! @brief One call on its road; each step fills in its part. */
struct RoadCall
{
    Door door = Door::Outside;
    SnapshotPtr snapshot; /*!< The one snapshot the call is served by. */
    FleetViewPtr fleet;
    const Route *route = nullptr;
    const WorkClass *workClass = nullptr;
    const ClientAccount *account = nullptr; /*!< Null on open routes without a key. */
    std::string contextToken; /*!< Of the call that caused this one; empty outside. */
    std::string idempotencyKey; /*!< As the caller sent it; empty when absent. */
    TimePoint startedAt;
    TimePoint deadline;
    CallMessage message;
    std::vector<std::string> ledgerHomes; /*!< Homes that hold this call's reservation. */
    bool retried = false; /*!< Executed more than once, here or below. */
};

} // namespace celeryramp
