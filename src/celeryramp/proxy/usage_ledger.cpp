#include "proxy/usage_ledger.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::proxy {

namespace internal {

/*! A zone counts as silent when it was not heard of for this long: a report is late. */
constexpr Millis kZoneSilence{600};
/*! The same of a zone without requests, which reports every 2 s. */
constexpr Millis kQuietZoneSilence{5000};
/*! A node counts as silent after this; quiet ones report twice a second. */
constexpr Millis kNodeSilence{1400};
/*! Span over which demand is measured; short, so that a sudden rise is met at once. */
constexpr double kMeasureSeconds = 0.24;
/*! Weight of the newest measurement when demand falls; a rise counts in full. */
constexpr double kFallWeight = 0.4;
/*! Demand below which an account is forgotten, in requests a second. */
constexpr double kNoDemand = 0.02;
/*! Part of a burst that is given out; the rest covers what is admitted while news travel. */
constexpr double kBurstShare = 0.75;

} // namespace internal

void UsageLedger::take(const std::string &zone, const UsageFrame &report)
{
    for (const auto &[name, usage] : report.accounts) {
        auto &account = m_accounts[name];
        account.zones[zone].recent += usage.demanded;
        account.admitted += usage.admitted;
    }
}

void UsageLedger::addNodeReport(const std::string &node, const UsageFrame &report, TimePoint now)
{
    m_nodesHeardAt[node] = now;
    take(m_zone, report);
    for (const auto &[name, usage] : report.accounts) {
        auto &sum = m_unreported.accounts[name];
        sum.admitted += usage.admitted;
        sum.demanded += usage.demanded;
    }
}

void UsageLedger::addZoneReport(const UsageFrame &report, TimePoint now)
{
    if (report.zone == m_zone) {
        return;
    }
    m_zones[report.zone] = {now, report.heardNodes, report.isQuiet};
    take(report.zone, report);
}

UsageFrame UsageLedger::takeZoneReport(bool isQuiet)
{
    UsageFrame report = std::move(m_unreported);
    report.zone = m_zone;
    report.heardNodes = m_nodes;
    report.isQuiet = isQuiet;
    m_unreported = {};
    return report;
}

void UsageLedger::countNodes(const std::vector<std::string> &others, std::size_t fleet,
                             TimePoint now)
{
    const auto heard = std::count_if(others.begin(), others.end(), [&](const std::string &node) {
        const auto it = m_nodesHeardAt.find(node);
        return it != m_nodesHeardAt.end()
                && millisBetween(it->second, now) <= internal::kNodeSilence;
    });
    m_nodes = static_cast<int>(heard) + 1;
    m_fleet = std::max<std::size_t>(1, fleet);
}

bool UsageLedger::isHeard(const std::string &zone, TimePoint now) const
{
    if (zone == m_zone) {
        return true;
    }
    const auto it = m_zones.find(zone);
    return it != m_zones.end()
            && millisBetween(it->second.heardAt, now)
            < (it->second.isQuiet ? internal::kQuietZoneSilence : internal::kZoneSilence);
}

double UsageLedger::share(TimePoint now) const
{
    int heard = m_nodes;
    for (const auto &[name, zone] : m_zones) {
        heard += isHeard(name, now) ? zone.nodes : 0;
    }
    return std::min(1.0, static_cast<double>(heard) / static_cast<double>(m_fleet));
}

double UsageLedger::measure(Account &account, double span, bool isMeasured, TimePoint now)
{
    double all = 0.0;
    for (auto &[zone, demand] : account.zones) {
        if (!isHeard(zone, now)) {
            continue;
        }
        if (isMeasured) {
            // Less what chance may add, so that small accounts do not seem to rise and fall.
            const double newest = std::max(0.0, demand.recent - std::sqrt(demand.recent)) / span;
            demand.perSecond = newest > demand.perSecond
                    ? newest
                    : demand.perSecond + internal::kFallWeight * (newest - demand.perSecond);
            demand.recent = 0.0;
        }
        all += demand.perSecond;
    }
    return all;
}

LevelsFrame UsageLedger::levels(const directory::RoutingTable &routing, TimePoint now)
{
    const double elapsed = std::clamp(secondsBetween(m_updatedAt, now), 0.0, 3600.0);
    m_updatedAt = now;
    const double span = secondsBetween(m_measuredAt, now);
    const bool isMeasured = span >= internal::kMeasureSeconds;
    if (isMeasured) {
        m_measuredAt = now;
    }
    const double part = share(now);
    LevelsFrame frame;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        auto &account = it->second;
        const double demand = measure(account, span, isMeasured, now);
        const auto *limits = routing.findAccount(it->first);
        if (limits == nullptr || limits->rate <= 0.0
            || (demand < internal::kNoDemand && isMeasured)) {
            it = m_accounts.erase(it);
            continue;
        }
        const double size = limits->burst * internal::kBurstShare * part;
        if (!account.isKnown) {
            account.isKnown = true;
            account.level = size;
        }
        account.level
                = std::min(size, account.level + elapsed * limits->rate * part - account.admitted);
        account.admitted = 0.0;
        frame.accounts.emplace(it->first, AccountLevel{account.level, demand, limits->rate * part});
        ++it;
    }
    return frame;
}

} // namespace celeryramp::proxy
