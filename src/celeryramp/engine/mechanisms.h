#pragma once

#include <array>
#include <string_view>

namespace celeryramp::engine {

/*!
 * @brief Mechanisms of a node that can be switched off, so that the soak shows that its checks
 * notice what breaks without them. Settings can do so only in builds with stand-ins.
 */
struct Mechanisms
{
    bool atMostOnce = true; /*!< Requests that must not be repeated are not retried once sent. */
    bool trueRefusals = true; /*!< A request that may have run is not reported as not run. */
    bool attribution = true; /*!< Answers are matched to requests by their id. */
    bool wholeBodies = true; /*!< A body that breaks off is not ended as if complete. */
    bool freshKeys = true; /*!< API keys count while the replica is fresh only. */
    bool draining = true; /*!< Servers that leave get no requests. */
    bool evacuation = true; /*!< Servers of evacuated zones get no requests. */
    bool rateLimits = true; /*!< Accounts are held to their rates. */
    bool gracefulStop = true; /*!< A stop finishes the work that was accepted. */
    bool cancellation = true; /*!< Callers that leave cancel their requests. */
};

struct MechanismName
{
    std::string_view name;
    bool Mechanisms::*member;
};

/*! Names of the mechanisms in settings and on the command line of the soak. */
inline constexpr std::array<MechanismName, 10> kMechanisms{
        {{"at-most-once", &Mechanisms::atMostOnce},
         {"true-refusals", &Mechanisms::trueRefusals},
         {"attribution", &Mechanisms::attribution},
         {"whole-bodies", &Mechanisms::wholeBodies},
         {"fresh-keys", &Mechanisms::freshKeys},
         {"draining", &Mechanisms::draining},
         {"evacuation", &Mechanisms::evacuation},
         {"rate-limits", &Mechanisms::rateLimits},
         {"graceful-stop", &Mechanisms::gracefulStop},
         {"cancellation", &Mechanisms::cancellation}}};

} // namespace celeryramp::engine
