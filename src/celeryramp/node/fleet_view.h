#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace celeryramp {

/*!
 * @brief What the control duty publishes for the duties that carry calls. Immutable.
 * All of it is a hint but `selfLeaving` and `quarantined`, which the gate acts on.
 */
struct FleetView
{
    std::set<std::string> down;
    std::set<std::string> leaving;
    std::set<std::string> quarantined; /*!< Digests not to be run. */
    std::set<std::string> suspect; /*!< Digests not to be repeated by the mesh. */
    bool selfLeaving = false;
    bool superseded = false; /*!< Another process holds this server's slot. */

    /*! @return True when new work may go to a server, as far as this node knows. */
    [[nodiscard]] bool isOpen(const std::string &server) const
    {
        return down.count(server) == 0 && leaving.count(server) == 0;
    }
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

} // namespace celeryramp
