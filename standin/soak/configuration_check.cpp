#include "soak/configuration_check.h"

#include <algorithm>
#include <tuple>

namespace standin::soak {

namespace {

using celeryramp::Millis;
using celeryramp::millisBetween;
using celeryramp::TimePoint;

/*! Requests on added routes from which on their share of service is judged. */
constexpr int kMinAdded = 20;
constexpr int kAddedPart = 4; /*!< They are served a quarter as often at least. */

bool overlaps(const Span &span, TimePoint from, TimePoint to)
{
    return span.from <= to && from <= span.to;
}

/*! @brief What one request shows of the version that a node used. */
struct Outcome
{
    const SentRequest *request = nullptr;
    TimePoint at;
    const Execution *execution = nullptr; /*!< Nothing if the node refused the request. */
    int oldest = -1; /*!< Indexes of the versions that allow it; -1 if none does. */
    int newest = -1;
};

bool allows(const ConfigurationVersion &version, const Outcome &outcome)
{
    const auto route = version.services.find(outcome.request->prefix);
    const bool hasRoute = route != version.services.end();
    const bool hasKey = version.keys.count(outcome.request->key) > 0;
    if (outcome.execution != nullptr) {
        return hasRoute && hasKey && route->second == outcome.execution->service;
    }
    return (outcome.request->status == 404 && !hasRoute)
            || (outcome.request->status == 401 && !hasKey);
}

bool isDenied(const SentRequest &request)
{
    const int status = request.status;
    return request.end == CallerEnd::Answered && !request.isSigned
            && (status == 401 || status == 403 || status == 404);
}

std::string describe(const Outcome &outcome)
{
    const auto &request = *outcome.request;
    const auto what = outcome.execution != nullptr
            ? " ran at " + outcome.execution->server + " of " + outcome.execution->service
            : " got " + std::to_string(request.status);
    return request.id + " on " + request.prefix + " with " + request.key + what;
}

class ConfigurationChecker
{
public:
    ConfigurationChecker(const Observations &observations, const PromiseBounds &bounds)
        : m_observations{observations}, m_bounds{bounds}
    { }

    std::vector<Violation> run()
    {
        collectOutcomes();
        for (const auto &outcome : m_outcomes) {
            if (outcome.newest < 0) {
                report(outcome.execution != nullptr ? "route" : "denied", outcome, -1);
                continue;
            }
            checkInForce(outcome);
            checkNeverBack(outcome);
        }
        for (const auto &[subject, found] : m_found) {
            m_violations.push_back({std::get<0>(subject), describeAll(found)});
        }
        checkAddedRoutes();
        return std::move(m_violations);
    }

private:
    struct Found
    {
        Outcome first;
        int version = -1;
        int n = 0;
    };

    void collectOutcomes()
    {
        const auto add
                = [this](const SentRequest &request, TimePoint at, const Execution *execution) {
                      Outcome outcome{&request, at, execution};
                      for (std::size_t i = 0; i < m_observations.versions.size(); ++i) {
                          const auto &version = m_observations.versions[i];
                          if (version.sentAt <= at && allows(version, outcome)) {
                              outcome.newest = static_cast<int>(i);
                              outcome.oldest = outcome.oldest < 0 ? outcome.newest : outcome.oldest;
                          }
                      }
                      m_outcomes.push_back(outcome);
                      if (execution != nullptr && outcome.oldest > 0) {
                          m_effects[request.node].push_back(outcome);
                      }
                  };
        for (const auto &execution : m_observations.executions) {
            if (const auto it = m_observations.requests.find(execution.id);
                it != m_observations.requests.end()) {
                add(it->second, execution.at, &execution);
            }
        }
        for (const auto &[id, request] : m_observations.requests) {
            if (isDenied(request)) {
                add(request, request.endedAt, nullptr);
            }
        }
    }

    void report(const char *promise, const Outcome &outcome, int version)
    {
        auto &found = m_found[{promise, outcome.request->node, version}];
        if (found.n++ == 0 || outcome.request->sentAt < found.first.request->sentAt) {
            found.first = outcome;
            found.version = version;
        }
    }

    [[nodiscard]] const ConfigurationVersion &versionAt(int index) const
    {
        return m_observations.versions.at(static_cast<std::size_t>(index));
    }

    [[nodiscard]] std::string describeAll(const Found &found) const
    {
        const auto &request = *found.first.request;
        auto text = nodeName(request.node) + ": " + std::to_string(found.n) + " requests, first "
                + describe(found.first);
        if (found.version >= 0) {
            const auto &version = versionAt(found.version);
            auto since = version.sentAt;
            for (const auto &span : m_observations.confirmed) {
                if (span.subject == std::to_string(version.number) && span.from <= request.sentAt) {
                    since = span.from;
                }
            }
            text += ", sent " + std::to_string(millisBetween(since, request.sentAt).count())
                    + " ms after version " + std::to_string(version.number) + ", as of version "
                    + std::to_string(versionAt(found.first.newest).number);
        }
        return text;
    }

    [[nodiscard]] bool isDisturbed(const std::string &subject, TimePoint from, TimePoint to) const
    {
        return std::any_of(m_observations.disturbances.begin(), m_observations.disturbances.end(),
                           [&](const Span &span) {
                               return span.subject == subject && overlaps(span, from, to);
                           });
    }

    /*! @return When the process began that runs at a time. */
    [[nodiscard]] const Span *incarnationAt(int node, TimePoint at) const
    {
        const Span *last = nullptr;
        for (const auto &span : m_observations.incarnations) {
            if (span.subject == nodeName(node) && span.from <= at) {
                last = &span;
            }
        }
        return last;
    }

    /*! The node ran without disturbance, and the store was not away or slow, for a while before
     * the request and until its outcome. */
    [[nodiscard]] bool isInTouch(const SentRequest &request, TimePoint until) const
    {
        const auto from = request.sentAt - m_bounds.settle;
        const auto *incarnation = incarnationAt(request.node, request.sentAt);
        return incarnation != nullptr && incarnation->from <= from && until < incarnation->to
                && !isDisturbed(nodeName(request.node), from, until)
                && !isDisturbed(kStoreDown, from, until);
    }

    [[nodiscard]] bool binds(const Span &confirmed, const Outcome &outcome) const
    {
        const auto sentAt = outcome.request->sentAt;
        const bool isStretched = isDisturbed(kStorePartial, sentAt - m_bounds.settle, outcome.at);
        return sentAt <= confirmed.to
                && sentAt
                > confirmed.from + m_bounds.apply + (isStretched ? m_bounds.stretch : Millis{0})
                && !(isStretched && isDisturbed(kStoreDown, confirmed.from, outcome.at));
    }

    void checkInForce(const Outcome &outcome)
    {
        if (!isInTouch(*outcome.request, outcome.at)) {
            return;
        }
        for (auto i = static_cast<int>(m_observations.versions.size()) - 1; i > outcome.newest;
             --i) {
            const auto number = std::to_string(versionAt(i).number);
            if (std::any_of(m_observations.confirmed.begin(), m_observations.confirmed.end(),
                            [&](const Span &span) {
                                return span.subject == number && binds(span, outcome);
                            })) {
                report("configuration", outcome, i);
                return;
            }
        }
    }

    void checkNeverBack(const Outcome &outcome)
    {
        const auto &request = *outcome.request;
        const auto *incarnation = incarnationAt(request.node, request.sentAt);
        for (const auto &effect : m_effects[request.node]) {
            if (effect.oldest <= outcome.newest || effect.at >= request.sentAt
                || incarnationAt(request.node, effect.request->sentAt) != incarnation) {
                continue;
            }
            const bool isSlowed
                    = isDisturbed(nodeName(request.node), effect.at - m_bounds.settle, outcome.at);
            if (request.sentAt
                > effect.at + m_bounds.rollbackSlack * (isSlowed ? m_bounds.slowedFactor : 1)) {
                report("regression", outcome, effect.oldest);
                return;
            }
        }
    }

    /*! Once all is calm, routes that were added are served about as often as the first ones. */
    void checkAddedRoutes()
    {
        const auto &versions = m_observations.versions;
        const auto settled = std::find_if(versions.rbegin(), versions.rend(), [&](const auto &it) {
            return it.sentAt + m_bounds.apply + m_bounds.stretch < m_observations.calmFrom;
        });
        if (settled == versions.rend()) {
            return;
        }
        struct Share
        {
            int n = 0;
            int served = 0;
        } first, added;
        for (const auto &[id, request] : m_observations.requests) {
            const auto has = [&prefix = request.prefix](const ConfigurationVersion &version) {
                return version.services.count(prefix) > 0;
            };
            if (request.sentAt <= m_observations.calmFrom || request.end == CallerEnd::Open
                || request.end == CallerEnd::Left || versions.back().keys.count(request.key) == 0
                || m_observations.rates.count(request.account) > 0
                || !isInTouch(request, request.endedAt)
                || !(has(*settled) && has(versions.back()))) {
                continue;
            }
            auto &share = has(versions.front()) ? first : added;
            ++share.n;
            share.served += request.end == CallerEnd::Answered && request.status == 200 ? 1 : 0;
        }
        if (added.n >= kMinAdded
            && kAddedPart * static_cast<double>(added.served) / added.n
                    < static_cast<double>(first.served) / std::max(first.n, 1)) {
            m_violations.push_back({"added-routes",
                                    std::to_string(added.served) + " of " + std::to_string(added.n)
                                            + " requests served on routes that were added, "
                                            + std::to_string(first.served) + " of "
                                            + std::to_string(first.n) + " on the first ones"});
        }
    }

    const Observations &m_observations;
    const PromiseBounds &m_bounds;
    std::vector<Outcome> m_outcomes;
    std::map<int, std::vector<Outcome>> m_effects; /*!< By node: seen by servers. */
    std::map<std::tuple<std::string, int, int>, Found> m_found;
    std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation> checkConfiguration(const Observations &observations,
                                          const PromiseBounds &bounds)
{
    return observations.versions.empty() ? std::vector<Violation>{}
                                         : ConfigurationChecker{observations, bounds}.run();
}

} // namespace standin::soak
