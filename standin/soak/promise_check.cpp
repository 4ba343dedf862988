#include "soak/promise_check.h"

#include <algorithm>
#include <deque>

#include "soak/configuration_check.h"

namespace standin::soak {

namespace {

using celeryramp::Millis;
using celeryramp::millisBetween;
using celeryramp::TimePoint;

/*! Statuses that promise that a request has not run and will not. */
bool promisesNotRun(const SentRequest &request)
{
    const int status = request.status;
    return request.end == CallerEnd::Answered && !request.isSigned
            && (status == 408 || status == 421 || status == 429 || status == 503);
}

class PromiseChecker
{
public:
    PromiseChecker(const Observations &observations, const PromiseBounds &bounds)
        : m_observations{observations}, m_bounds{bounds}
    {
        for (const auto &execution : observations.executions) {
            m_executionsById[execution.id].push_back(&execution);
        }
    }

    std::vector<Violation> run()
    {
        for (const auto &[id, request] : m_observations.requests) {
            checkExecutions(request);
            checkAnswer(request);
            checkEnd(request);
        }
        for (const auto &execution : m_observations.executions) {
            checkPlace(execution);
        }
        checkWorkAfterCancellation();
        for (const auto &[account, limit] : m_observations.rates) {
            checkRate(account, limit.first, limit.second);
        }
        return std::move(m_violations);
    }

private:
    void report(const char *promise, const std::string &detail)
    {
        m_violations.push_back({promise, detail});
    }

    [[nodiscard]] bool isDisturbed(TimePoint from, TimePoint to) const
    {
        return std::any_of(m_observations.disturbances.begin(), m_observations.disturbances.end(),
                           [&](const Span &span) {
                               return span.from <= to && from <= span.to + m_bounds.settle;
                           });
    }

    void checkExecutions(const SentRequest &request)
    {
        const auto found = m_executionsById.find(request.id);
        if (found == m_executionsById.end()) {
            return;
        }
        const auto &executions = found->second;
        const auto n = static_cast<int>(executions.size());
        if (request.kind == RouteKind::Write && n > 1) {
            report("at-most-once", request.id + " ran " + std::to_string(n) + " times");
        }
        if (n > m_bounds.attempts) {
            report("attempts", request.id + " ran " + std::to_string(n) + " times");
        }
        if (request.kind == RouteKind::Write && promisesNotRun(request)) {
            report("true-refusal",
                   request.id + " got " + std::to_string(request.status) + " and ran");
        }
        for (const auto *execution : executions) {
            if (request.isRevoked
                && millisBetween(request.keyWithdrawnAt, request.sentAt) > m_bounds.revocation) {
                report("revocation",
                       request.id + " ran with a withdrawn key at " + execution->server);
            }
            if (execution->account != request.account) {
                report("account", request.id + " ran for " + execution->account);
            }
            const bool isLate = request.end == CallerEnd::Left
                    && execution->at > request.endedAt + m_bounds.cancellation;
            if (isLate && !isDisturbed(request.sentAt, execution->at)) {
                report("cancellation", request.id + " started after its caller had left");
            }
        }
    }

    void checkAnswer(const SentRequest &request)
    {
        if (request.end == CallerEnd::Answered && request.status == 200
            && !(request.isSigned && request.isRightBody)) {
            report("right-answer",
                   request.id + " got " + std::to_string(request.bodyBytes) + " of "
                           + std::to_string(request.expectedBytes) + " bytes"
                           + (request.isSigned ? "" : ", unsigned"));
        }
    }

    /*! A request that nothing unplanned disturbs gets an answer, also around planned stops. */
    void checkEnd(const SentRequest &request)
    {
        const bool hadTime
                = millisBetween(request.sentAt, request.endedAt) < request.deadline * 7 / 10;
        const bool mayCrossClose = m_executionsById.count(request.id) == 0
                && millisBetween(request.sentAt, request.endedAt) < m_bounds.lossSlack;
        if (request.end == CallerEnd::Closed && hadTime && !mayCrossClose
            && !isDisturbed(request.sentAt, request.endedAt)) {
            report("planned-stop",
                   request.id + " was cut off at node " + std::to_string(request.node) + " after "
                           + std::to_string(millisBetween(request.sentAt, request.endedAt).count())
                           + " ms, route " + std::to_string(static_cast<int>(request.kind)));
        }
    }

    void checkPlace(const Execution &execution)
    {
        const auto isInForce = [&](const Span &span, Millis bound) {
            const auto request = m_observations.requests.find(execution.id);
            const auto since = span.from + bound
                    + (isDisturbed(span.from, execution.at) ? m_bounds.stretch : Millis{0});
            return request != m_observations.requests.end() && request->second.sentAt > since
                    && execution.at < span.to;
        };
        for (const auto &span : m_observations.gone) {
            if (span.subject == execution.server && isInForce(span, m_bounds.drain)) {
                report("draining", execution.id + " ran at " + execution.server);
            }
        }
        for (const auto &span : m_observations.evacuated) {
            if (span.subject == execution.zone && isInForce(span, m_bounds.evacuation)) {
                report("evacuation", execution.id + " ran in zone " + execution.zone);
            }
        }
    }

    /*! Work for callers that have left ends soon, in three of four cases at least. */
    void checkWorkAfterCancellation()
    {
        int n = 0;
        int late = 0;
        for (const auto &execution : m_observations.executions) {
            const auto it = m_observations.requests.find(execution.id);
            if (it == m_observations.requests.end() || it->second.end != CallerEnd::Left
                || it->second.kind == RouteKind::Write || execution.endedAt == TimePoint{}
                || execution.at > it->second.endedAt || execution.endedAt < it->second.endedAt
                || isDisturbed(it->second.sentAt, execution.endedAt)) {
                continue;
            }
            ++n;
            late += execution.endedAt > it->second.endedAt + m_bounds.cancellation ? 1 : 0;
        }
        if (late > 2 && late * 4 > n) {
            report("cancellation",
                   std::to_string(late) + " of " + std::to_string(n)
                           + " requests were worked on after their callers had left");
        }
    }

    void checkRate(const std::string &account, double rate, double burst)
    {
        const double seconds = static_cast<double>(m_bounds.rateWindow.count()) / 1000.0;
        const double most
                = (rate * seconds + burst) * (1.0 + m_bounds.rateOverage) + m_bounds.rateSlack;
        std::deque<TimePoint> window;
        for (const auto &execution : m_observations.executions) {
            if (execution.account != account) {
                continue;
            }
            window.push_back(execution.at);
            while (millisBetween(window.front(), execution.at) > m_bounds.rateWindow) {
                window.pop_front();
            }
            if (static_cast<double>(window.size()) > most) {
                report("rate",
                       account + " ran " + std::to_string(window.size())
                               + " requests in one window");
                return;
            }
        }
    }

    const Observations &m_observations;
    const PromiseBounds &m_bounds;
    std::map<std::string, std::vector<const Execution *>> m_executionsById;
    std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation> checkPromises(const Observations &observations, const PromiseBounds &bounds)
{
    auto violations = PromiseChecker{observations, bounds}.run();
    auto others = checkConfiguration(observations, bounds);
    violations.insert(violations.end(), std::make_move_iterator(others.begin()),
                      std::make_move_iterator(others.end()));
    return violations;
}

} // namespace standin::soak
