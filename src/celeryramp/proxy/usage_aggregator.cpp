#include "proxy/usage_aggregator.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::proxy {

namespace internal {

/*! Time since its last report after which a zone is no longer live. */
constexpr Millis kZoneTimeout{600};
/*! The same for an idle zone, which reports every 2 s. */
constexpr Millis kIdleZoneTimeout{5000};
/*! The same for a node; idle ones report twice a second. */
constexpr Millis kNodeTimeout{1400};
/*! Minimum interval between measurements of demand; short, to react quickly to a rise. */
constexpr double kMeasurementSeconds = 0.24;
/*! Weight of the newest measurement when demand falls; a rise is applied at once. */
constexpr double kDecreaseWeight = 0.4;
/*! Demand in requests per second below which an account is removed. */
constexpr double kMinDemand = 0.02;
/*! Usable share of the burst; the rest covers requests admitted before the levels arrive. */
constexpr double kBurstShare = 0.75;

} // namespace internal

void UsageAggregator::addUsage(const std::string &zone, const UsageFrame &report)
{
    for (const auto &[name, usage] : report.accounts) {
        auto &account = m_accounts[name];
        account.zones[zone].unmeasured += usage.demanded;
        account.admitted += usage.admitted;
    }
}

void UsageAggregator::addNodeReport(const std::string &node, const UsageFrame &report,
                                    TimePoint now)
{
    m_nodeReportedAt[node] = now;
    addUsage(m_zone, report);
    for (const auto &[name, usage] : report.accounts) {
        auto &sum = m_unreported.accounts[name];
        sum.admitted += usage.admitted;
        sum.demanded += usage.demanded;
    }
}

void UsageAggregator::addZoneReport(const UsageFrame &report, TimePoint now)
{
    if (report.zone == m_zone) {
        return;
    }
    m_zones[report.zone] = {now, report.liveNodes, report.isIdle};
    addUsage(report.zone, report);
}

UsageFrame UsageAggregator::takeZoneReport(bool isIdle)
{
    UsageFrame report = std::move(m_unreported);
    report.zone = m_zone;
    report.liveNodes = m_liveNodes;
    report.isIdle = isIdle;
    m_unreported = {};
    return report;
}

void UsageAggregator::countNodes(const std::vector<std::string> &others, std::size_t fleetSize,
                                 TimePoint now)
{
    const auto live = std::count_if(others.begin(), others.end(), [&](const std::string &node) {
        const auto it = m_nodeReportedAt.find(node);
        return it != m_nodeReportedAt.end()
                && millisBetween(it->second, now) <= internal::kNodeTimeout;
    });
    m_liveNodes = static_cast<int>(live) + 1;
    m_fleetSize = std::max<std::size_t>(1, fleetSize);
}

bool UsageAggregator::isLive(const std::string &zone, TimePoint now) const
{
    if (zone == m_zone) {
        return true;
    }
    const auto it = m_zones.find(zone);
    return it != m_zones.end()
            && millisBetween(it->second.reportedAt, now)
            < (it->second.isIdle ? internal::kIdleZoneTimeout : internal::kZoneTimeout);
}

double UsageAggregator::liveShare(TimePoint now) const
{
    int live = m_liveNodes;
    for (const auto &[name, zone] : m_zones) {
        live += isLive(name, now) ? zone.liveNodes : 0;
    }
    return std::min(1.0, static_cast<double>(live) / static_cast<double>(m_fleetSize));
}

double UsageAggregator::updateDemand(Account &account, double span, bool isMeasurementDue,
                                     TimePoint now)
{
    double total = 0.0;
    for (auto &[zone, demand] : account.zones) {
        if (!isLive(zone, now)) {
            continue;
        }
        if (isMeasurementDue) {
            // One standard deviation (Poisson) is subtracted, so that random variation does not
            // appear as a rise of small accounts.
            const double measured
                    = std::max(0.0, demand.unmeasured - std::sqrt(demand.unmeasured)) / span;
            demand.perSecond = measured > demand.perSecond
                    ? measured
                    : demand.perSecond + internal::kDecreaseWeight * (measured - demand.perSecond);
            demand.unmeasured = 0.0;
        }
        total += demand.perSecond;
    }
    return total;
}

LevelsFrame UsageAggregator::levels(const directory::RoutingTable &routing, TimePoint now)
{
    const double elapsed = std::clamp(secondsBetween(m_updatedAt, now), 0.0, 3600.0);
    m_updatedAt = now;
    const double span = secondsBetween(m_measuredAt, now);
    const bool isMeasurementDue = span >= internal::kMeasurementSeconds;
    if (isMeasurementDue) {
        m_measuredAt = now;
    }
    const double share = liveShare(now);
    LevelsFrame frame;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        auto &account = it->second;
        const double demand = updateDemand(account, span, isMeasurementDue, now);
        const auto *limits = routing.findAccount(it->first);
        if (limits == nullptr || limits->rate <= 0.0
            || (demand < internal::kMinDemand && isMeasurementDue)) {
            it = m_accounts.erase(it);
            continue;
        }
        const double capacity = limits->burst * internal::kBurstShare * share;
        if (!account.isInitialized) {
            account.isInitialized = true;
            account.level = capacity;
        }
        account.level = std::min(capacity,
                                 account.level + elapsed * limits->rate * share - account.admitted);
        account.admitted = 0.0;
        frame.accounts.emplace(it->first,
                               AccountLevel{account.level, demand, limits->rate * share});
        ++it;
    }
    return frame;
}

} // namespace celeryramp::proxy
