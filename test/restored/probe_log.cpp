#include "restored/probe_log.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace celeryramp::test {

namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
/*! Share of the requests that are served where nothing is disturbed. */
constexpr double kServedShare = 0.9;
/*! `RollbackSlack` of the users' pages. */
constexpr Millis kRollbackSlack{250};

/*! What the requests of one node or process got. */
struct Count
{
    int all = 0;
    int served = 0;
    int denied = 0;

    void add(int status)
    {
        ++all;
        served += status == kOk ? 1 : 0;
        denied += status == kUnauthorized || status == kNotFound ? 1 : 0;
    }
};

std::string describe(int node, const std::string &subject, const Count &count)
{
    return "node " + std::to_string(node) + ", " + subject + ": " + std::to_string(count.served)
            + " served and " + std::to_string(count.denied) + " denied of "
            + std::to_string(count.all);
}

} // namespace

std::vector<std::string> ProbeLog::notServed(const std::string &route, TimePoint from,
                                             TimePoint to) const
{
    std::map<int, Count> counts;
    for (const auto &result : m_results) {
        auto &count = counts[result.node]; // a node that was never asked counts as well
        if (result.route == route && result.key.empty() && result.sentAt >= from
            && result.sentAt < to) {
            count.add(result.status);
        }
    }
    std::vector<std::string> lines;
    for (const auto &[node, count] : counts) {
        if (count.all == 0 || count.denied > 0 || count.served < kServedShare * count.all) {
            lines.push_back(describe(node, route, count));
        }
    }
    return lines;
}

std::vector<std::string> ProbeLog::servedWithKey(const std::string &key, TimePoint from) const
{
    std::map<int, Count> counts;
    for (const auto &result : m_results) {
        auto &count = counts[result.node];
        if (result.key == key && result.sentAt >= from) {
            count.add(result.status);
        }
    }
    std::vector<std::string> lines;
    for (const auto &[node, count] : counts) {
        if (count.all == 0 || count.served > 0) {
            lines.push_back(describe(node, key, count));
        }
    }
    return lines;
}

std::vector<std::string> ProbeLog::wentBack(const VersionSigns &signs) const
{
    using Process = std::pair<int, int>;
    std::map<Process, TimePoint> shownAt;
    for (const auto &result : m_results) {
        if (result.route == signs.added && result.status == kOk) {
            const auto [it, isNew]
                    = shownAt.emplace(Process{result.node, result.incarnation}, result.endedAt);
            it->second = isNew ? it->second : std::min(it->second, result.endedAt);
        }
    }
    std::map<Process, Count> added;
    std::map<Process, Count> dropped;
    for (const auto &result : m_results) {
        const Process process{result.node, result.incarnation};
        const auto it = shownAt.find(process);
        if (it == shownAt.end() || result.sentAt <= it->second + kRollbackSlack) {
            continue;
        }
        if (result.route == signs.added) {
            added[process].add(result.status);
        } else if (!signs.dropped.empty() && result.route == signs.dropped) {
            dropped[process].add(result.status);
        }
    }
    std::vector<std::string> lines;
    for (const auto &[process, count] : added) {
        if (count.denied > 0) {
            lines.push_back(describe(process.first, signs.added, count));
        }
    }
    for (const auto &[process, count] : dropped) {
        if (count.served > 0) {
            lines.push_back(describe(process.first, signs.dropped, count));
        }
    }
    return lines;
}

bool ProbeLog::isServedByAll(const std::string &route, int nodes, TimePoint since) const
{
    std::set<int> serving;
    for (const auto &result : m_results) {
        if (result.route == route && result.sentAt >= since && result.status == kOk) {
            serving.insert(result.node);
        }
    }
    return static_cast<int>(serving.size()) == nodes;
}

} // namespace celeryramp::test
