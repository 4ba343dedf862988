#pragma once

#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "config/snapshot.h"
#include "core/mechanisms.h"
#include "node/fleet_view.h"
#include "routing/picker.h"
#include "routing/retry_budget.h"

namespace celeryramp {

/*! @brief Selects servers for the calls of one node. Thread-safe. */
class RequestRouter
{
public:
    RequestRouter(std::string zone, std::uint64_t seed, Mechanisms mechanisms)
        : m_picker{std::move(zone), seed, mechanisms.zones}, m_mechanisms{mechanisms}
    { }

    /*! @brief Applies a new configuration. */
    void onSnapshot(const Snapshot &snapshot, TimePoint now);

    /*! @return Server to try next, counted as in flight; empty when no server is available. */
    [[nodiscard]] std::string pick(const Snapshot &snapshot, const FleetView &fleet,
                                   const std::string &service,
                                   gsl::span<const std::string> excluded, TimePoint now);

    /*! @brief Records an attempt that the gate answered. */
    void onAnswer(const std::string &server, const AnswerMessage &answer, TimePoint now);

    /*! @brief Records an attempt that the gate did not answer. */
    void onNoAnswer(const std::string &server, TimePoint now);

    /*! @brief Records a first attempt, which adds to the retry budget. */
    void onFirstAttempt(const std::string &service);

    /*! @return True when the retry budget allows one more execution, which is then spent. */
    [[nodiscard]] bool tryConsumeRetry(const std::string &service);

    /*! @return Servers of a service with their pressure, for the operator port. */
    [[nodiscard]] std::vector<std::pair<std::string, double>>
    pressures(const Snapshot &snapshot, const std::string &service, TimePoint now) const;

private:
    mutable std::mutex m_mutex;
    Picker m_picker;
    LoadTable m_loads;
    ZoneRamp m_zones;
    RetryBudget m_budget;
    Mechanisms m_mechanisms;
};

} // namespace celeryramp
