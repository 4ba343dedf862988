#include "proxy/call_course.h"

#include <algorithm>

namespace celeryramp::proxy {

namespace internal {

/*! Gates asked to meet the target; each costs a round trip and no execution. */
constexpr int kMaxAsks = 6;
/*! Refusals of gates after which the news of the others are believed without asking them. */
constexpr int kTrustingAsks = 2;
/*! Gates asked to serve a call late. */
constexpr int kMaxLateAsks = 4;
/*! Least time left with which another server is tried. */
constexpr Millis kLeastLeft{30};
/*! Bounds of the time after which refused callers may come again. */
constexpr Millis kLeastPause{50};
constexpr Millis kMostPause{1000};
constexpr int kServerError = 500;
constexpr int kLostStatus = 502;
constexpr int kNotRunStatus = 503;
constexpr int kTimeoutStatus = 504;

/*! @return Time in which the load that a gate told is worked off. */
[[nodiscard]] Millis backOff(const GateLoad &load)
{
    const int over = load.running + load.waiting - load.slots;
    const Millis pause{over > 0 && load.slots > 0 ? over * load.serviceMillis / load.slots : 0};
    return std::clamp(pause, kLeastPause, kMostPause);
}

} // namespace internal

CallStep CallCourse::begin(const CourseTools &tools, TimePoint now)
{
    return advance(tools, now);
}

Choice CallCourse::choose(const CourseTools &tools, TimePoint now)
{
    const auto pool = tools.servers.candidates(m_terms.service, m_asked, now);
    const auto left = millisBetween(now, m_takesLate ? m_terms.deadline : m_terms.target);
    return tools.picker.pick(pool, {std::max(left, Millis{0}), m_terms.maySpill}, now);
}

CallStep CallCourse::advance(const CourseTools &tools, TimePoint now)
{
    Choice choice;
    if (!m_takesLate && m_asks < internal::kMaxAsks) {
        choice = choose(tools, now);
        const bool isHopeless = now + choice.likely > m_terms.target;
        if (m_metBusy && m_asks >= internal::kTrustingAsks && isHopeless) {
            choice = {};
        }
    }
    if (choice.server == nullptr && m_arrivals == 0 && m_metBusy
        && m_lateAsks < internal::kMaxLateAsks) {
        // Nobody can meet the target; a late answer is still worth something to the caller.
        if (!m_takesLate) {
            m_takesLate = true;
            m_asked.clear();
        }
        ++m_lateAsks;
        choice = choose(tools, now);
    }
    if (choice.server == nullptr) {
        if (m_lastReason == Reason::None) {
            m_lastReason = Reason::NoServer;
        }
        return giveUp();
    }
    ++m_asks;
    m_asked.insert(choice.server->id);
    m_serverId = choice.server->id;
    m_expected = choice.likely;
    tools.picker.onSent(m_serverId);
    return AskStep{choice.server, m_takesLate};
}

CallStep CallCourse::onReply(const ReplyFrame &reply, const CourseTools &tools, TimePoint now)
{
    const bool isGood = reply.kind == ReplyKind::Answer
            ? reply.answer.status < internal::kServerError
            : reply.kind == ReplyKind::NotRun && !reply.reachedServer
                    && reply.reason != Reason::Unreachable;
    tools.picker.onReply(m_serverId, reply.load, isGood, now);
    m_serverId.clear();
    m_lastReason = reply.reason;
    m_metBusy = m_metBusy || reply.reason == Reason::Busy;
    if (reply.kind == ReplyKind::NotRun) {
        return onNotRun(reply, tools, now);
    }
    ++m_arrivals;
    m_mayHaveRun = true;
    if (!isGood && mayRepeat(tools, now)) {
        return advance(tools, now);
    }
    if (reply.kind == ReplyKind::Answer) {
        return AnswerStep{};
    }
    return giveUp();
}

CallStep CallCourse::onNotRun(const ReplyFrame &reply, const CourseTools &tools, TimePoint now)
{
    const auto pause = internal::backOff(reply.load);
    m_retryAfter = m_retryAfter.count() == 0 ? pause : std::min(m_retryAfter, pause);
    if (reply.reachedServer) {
        ++m_arrivals;
        if (m_arrivals >= m_terms.maxAttempts || !tools.retries.trySpend(m_terms.service)) {
            return giveUp();
        }
    }
    if (millisBetween(now, m_terms.deadline) < internal::kLeastLeft) {
        return giveUp();
    }
    return advance(tools, now);
}

bool CallCourse::mayRepeat(const CourseTools &tools, TimePoint now) const
{
    return m_terms.isIdempotent && m_arrivals < m_terms.maxAttempts
            && millisBetween(now, m_terms.deadline) >= internal::kLeastLeft
            && tools.retries.trySpend(m_terms.service);
}

GiveUpStep CallCourse::onTimeout(const CourseTools &tools, TimePoint now)
{
    m_mayHaveRun = m_mayHaveRun || !m_serverId.empty();
    if (!m_serverId.empty()) {
        tools.picker.onNoReply(m_serverId, now);
        m_serverId.clear();
    }
    m_lastReason = Reason::TimedOut;
    return giveUp();
}

void CallCourse::onCallerLeft(const CourseTools &tools)
{
    if (!m_serverId.empty()) {
        tools.picker.onAbandoned(m_serverId);
        m_serverId.clear();
    }
}

GiveUpStep CallCourse::giveUp() const
{
    if (m_lastReason == Reason::TimedOut) {
        return {internal::kTimeoutStatus, m_lastReason, std::nullopt};
    }
    if (m_mayHaveRun) {
        return {internal::kLostStatus, m_lastReason, std::nullopt};
    }
    return {internal::kNotRunStatus, m_lastReason, std::max(m_retryAfter, internal::kLeastPause)};
}

} // namespace celeryramp::proxy
