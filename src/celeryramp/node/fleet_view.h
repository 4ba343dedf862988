#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace celeryramp {

/*!
 * @brief Immutable fleet state that the control service publishes to request handling.
 * All fields are hints except `selfLeaving` and `quarantined`, which the gate enforces.
 */
struct FleetView
{
    std::set<std::string> down;
    std::set<std::string> leaving;
    std::set<std::string> quarantined; /*!< Digests of requests that must not run. */
    std::set<std::string> suspect; /*!< Digests of requests that the mesh must not retry. */
    bool selfLeaving = false;
    bool superseded = false; /*!< Another process has taken this server's slot. */

    /*! @return True when a server is neither down nor leaving, as far as this node knows. */
    [[nodiscard]] bool isOpen(const std::string &server) const
    {
        return down.count(server) == 0 && leaving.count(server) == 0;
    }
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

} // namespace celeryramp
