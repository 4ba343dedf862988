#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "directory/routing_table.h"
#include "proxy/frames.h"

namespace celeryramp::proxy {

/*!
 * @brief Aggregates the usage of accounts by the nodes of the local zone and by the other zones.
 *
 * One node of each zone aggregates its reports; an isolated node aggregates its own. Nodes that
 * reach one another may admit the same fraction of each limit as their share of all nodes, so that
 * the groups of a network partition together do not exceed the limit.
 */
class UsageAggregator
{
public:
    /*! @param zone The local zone. */
    explicit UsageAggregator(std::string zone) : m_zone{std::move(zone)} { }

    /*! @brief Adds the report of a node of the local zone. */
    void addNodeReport(const std::string &node, const UsageFrame &report, TimePoint now);
    /*!
     * @brief Counts the live nodes of the local zone, that is, those with a recent report.
     * @param others Nodes of the zone except the one that aggregates.
     * @param fleetSize Number of all nodes that were published recently.
     */
    void countNodes(const std::vector<std::string> &others, std::size_t fleetSize, TimePoint now);
    /*! @brief Adds the report of another zone. Reports of the local zone are ignored. */
    void addZoneReport(const UsageFrame &report, TimePoint now);
    /*! @param isIdle The zone had no recent requests, so it reports at longer intervals.
     * @return Usage of the local zone since the last report, for the other zones. */
    [[nodiscard]] UsageFrame takeZoneReport(bool isIdle);
    /*! @return Fraction of all limits that the live nodes may admit together. */
    [[nodiscard]] double liveShare(TimePoint now) const;
    /*! @return State of all rate-limited accounts with recent demand. */
    [[nodiscard]] LevelsFrame levels(const directory::RoutingTable &routing, TimePoint now);

private:
    struct ZoneDemand
    {
        double unmeasured = 0.0; /*!< Requests since the last measurement. */
        double perSecond = 0.0;
    };

    struct Account
    {
        std::map<std::string, ZoneDemand> zones;
        double level = 0.0; /*!< Tokens of the bucket; negative when overdrawn. */
        double admitted = 0.0; /*!< Since the last update of the level. */
        bool isInitialized = false;
    };

    /*! Last report of another zone. */
    struct Zone
    {
        TimePoint reportedAt;
        int liveNodes = 0; /*!< Live nodes of the zone. */
        bool isIdle = false;
    };

    void addUsage(const std::string &zone, const UsageFrame &report);
    [[nodiscard]] bool isLive(const std::string &zone, TimePoint now) const;
    /*! @brief Updates the demand of an account if a measurement is due. @param span Seconds since
     * the last measurement. @return Requests per second over all live zones. */
    [[nodiscard]] double updateDemand(Account &account, double span, bool isMeasurementDue,
                                      TimePoint now);

    std::string m_zone;
    std::map<std::string, Account> m_accounts;
    std::map<std::string, Zone> m_zones; /*!< All other zones that ever reported. */
    std::map<std::string, TimePoint> m_nodeReportedAt; /*!< Of the local zone. */
    int m_liveNodes = 1; /*!< In the local zone, with this one. */
    std::size_t m_fleetSize = 1;
    UsageFrame m_unreported; /*!< Usage of the local zone not yet sent to the others. */
    TimePoint m_updatedAt;
    TimePoint m_measuredAt;
};

} // namespace celeryramp::proxy
