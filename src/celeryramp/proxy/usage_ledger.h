#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "directory/routing_table.h"
#include "proxy/frames.h"

namespace celeryramp::proxy {

/*!
 * @brief Adds up the use of accounts: of the nodes of one zone, and of the other zones.
 *
 * One node of each zone keeps it, and a node that hears nobody keeps one for itself. Those that
 * hear one another may admit as large a part of each limit as they are nodes of the fleet, so that
 * groups which cannot see one another do not admit the rate several times, however they are cut.
 */
class UsageLedger
{
public:
    /*! @param zone The own zone. */
    explicit UsageLedger(std::string zone) : m_zone{std::move(zone)} { }

    /*! @brief A node of the own zone reports. */
    void addNodeReport(const std::string &node, const UsageFrame &report, TimePoint now);
    /*!
     * @brief Counts the nodes of the own zone that are heard.
     * @param others Nodes of the zone but the one that keeps this ledger.
     * @param fleet Number of all nodes that were published lately.
     */
    void countNodes(const std::vector<std::string> &others, std::size_t fleet, TimePoint now);
    /*! @brief Another zone reports its sum. */
    void addZoneReport(const UsageFrame &report, TimePoint now);
    /*! @param isQuiet Nobody of the zone has asked for anything lately; it reports seldom.
     * @return The sum of the own zone since the last one, for the other zones. */
    [[nodiscard]] UsageFrame takeZoneReport(bool isQuiet);
    /*! @return Part of all limits that the nodes which are heard may admit together. */
    [[nodiscard]] double share(TimePoint now) const;
    /*! @return State of all accounts that had demand lately. */
    [[nodiscard]] LevelsFrame levels(const directory::RoutingTable &routing, TimePoint now);

private:
    struct ZoneDemand
    {
        double recent = 0.0; /*!< Asked since the last measurement. */
        double perSecond = 0.0;
    };

    struct Account
    {
        std::map<std::string, ZoneDemand> zones;
        double level = 0.0;
        double admitted = 0.0; /*!< Since the last update of the level. */
        bool isKnown = false;
    };

    /*! What a zone told last. */
    struct Zone
    {
        TimePoint heardAt;
        int nodes = 0; /*!< That it hears. */
        bool isQuiet = false;
    };

    void take(const std::string &zone, const UsageFrame &report);
    [[nodiscard]] bool isHeard(const std::string &zone, TimePoint now) const;
    /*! @brief Measures the demand of an account anew when a span is over.
     * @return Requests a second of the zones that are heard. */
    [[nodiscard]] double measure(Account &account, double span, bool isMeasured, TimePoint now);

    std::string m_zone;
    std::map<std::string, Account> m_accounts;
    std::map<std::string, Zone> m_zones; /*!< All others that were ever heard. */
    std::map<std::string, TimePoint> m_nodesHeardAt; /*!< Of the own zone. */
    int m_nodes = 1; /*!< Of the own zone that are heard, with the own one. */
    std::size_t m_fleet = 1;
    UsageFrame m_unreported; /*!< Of the own zone, for the others. */
    TimePoint m_updatedAt;
    TimePoint m_measuredAt;
};

} // namespace celeryramp::proxy
