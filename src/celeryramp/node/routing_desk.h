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

/*! @brief The routing decisions of one node, shared by the threads that carry calls. */
class RoutingDesk
{
public:
    RoutingDesk(std::string zone, std::uint64_t seed, Mechanisms mechanisms)
        : m_picker{std::move(zone), seed, mechanisms.zones}, m_mechanisms{mechanisms}
    { }

    /*! @brief A configuration came in force. */
    void onSnapshot(const Snapshot &snapshot, TimePoint now);

    /*! @return Server to try next, counted as under way; empty when none is open. */
    [[nodiscard]] std::string pick(const Snapshot &snapshot, const FleetView &fleet,
                                   const std::string &service,
                                   gsl::span<const std::string> excluded, TimePoint now);

    /*! @brief An attempt ended with a word of the gate. */
    void onAnswer(const std::string &server, const AnswerMessage &answer, TimePoint now);

    /*! @brief An attempt ended without a word of the gate. */
    void onSilence(const std::string &server, TimePoint now);

    /*! @brief A first attempt is made. */
    void onFirstAttempt(const std::string &service);

    /*! @return True when a call may be executed again. */
    [[nodiscard]] bool mayRepeat(const std::string &service);

    /*! @return Servers of a service with their pressure, for operators. */
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
