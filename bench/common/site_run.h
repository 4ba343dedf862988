#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "lab/site.h"

namespace bench {

/*! @brief One kind of call and which accounts send how many. */
struct LoadShape
{
    std::vector<nlohmann::json> kinds;
    std::vector<nlohmann::json> accounts; /*!< Name, key, rate and entry zone. */
    std::vector<nlohmann::json> apart; /*!< Accounts whose callers are processes of their own. */
    double seconds = 5.0;
    std::size_t threadsPerZone = 32;
    std::vector<std::string> entryZones; /*!< Zones whose nodes are called; empty for all. */
};

/*! @brief Starts a site, runs a load on it with something happening meanwhile, and reads the
 * journals. */
[[nodiscard]] standin::RunHistory runSite(const std::string &name,
                                          const standin::DeploymentShape &shape,
                                          const standin::BackendTuning &tuning, std::uint16_t port,
                                          const std::function<LoadShape(standin::Site &)> &makeLoad,
                                          const std::function<void(standin::Site &)> &meanwhile);

/*! @return Lookups of all accounts at this share of their rates. */
[[nodiscard]] LoadShape lookupLoad(standin::Site &site, double seconds, double rateShare);

/*! @brief Measures both sites of the brief, each with the mechanism and without it. */
void forEachSite(const std::string &mechanism,
                 const std::function<void(const std::string &site, bool with,
                                          const standin::DeploymentShape &shape)> &measure);

/*! @return Share of sends answered well and in target; 1 when there were none. */
[[nodiscard]] double inTargetShare(const standin::RunHistory &history, const std::string &account);

/*! @return Number of journal lines of servers with this event. */
[[nodiscard]] double countRuns(const standin::RunHistory &history, const std::string &event);

/*! @brief Sleeps until so many milliseconds after the start of the load. */
class Pace
{
public:
    Pace() : m_start{std::chrono::steady_clock::now()} { }
    void until(int millis) const;

private:
    std::chrono::steady_clock::time_point m_start;
};

} // namespace bench
