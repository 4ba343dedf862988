#pragma once

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "proxy/frames.h"
#include "proxy/server_picker.h"
#include "routing/retry_budget.h"

namespace celeryramp::proxy {

/*! @brief What a call may do, from its route and its caller. */
struct CallTerms
{
    std::string service;
    bool isIdempotent = false;
    int maxAttempts = 1; /*!< Servers that it may be handed to. */
    TimePoint target; /*!< A later answer misses the route's target. */
    TimePoint deadline;
    bool maySpill = true; /*!< To be in time it is worth its bytes between zones. */
};

/*! @brief Next step of a call: ask the gate of this server. */
struct AskStep
{
    const directory::BackendServer *server = nullptr;
    bool mayBeLate = false; /*!< The gate may keep it beyond its target. */
};

/*! @brief Next step of a call: pass the server's answer on. */
struct AnswerStep
{
};

/*! @brief Next step of a call: it ends without a server's answer. */
struct GiveUpStep
{
    int status = 503;
    Reason reason = Reason::None;
    std::optional<Millis> retryAfter; /*!< Only when nothing ran and nothing will. */
};

using CallStep = std::variant<AskStep, AnswerStep, GiveUpStep>;

/*! @brief Servers that a call may be sent to now. */
class CandidateSource
{
public:
    virtual ~CandidateSource() = default;
    /*! @param asked Servers to be marked as asked, by id. */
    [[nodiscard]] virtual std::vector<Candidate> candidates(const std::string &service,
                                                            const std::set<std::string> &asked,
                                                            TimePoint now) const = 0;
};

/*! @brief What the courses of all calls of a node share. */
struct CourseTools
{
    ServerPicker &picker;
    RetryBudget &retries;
    const CandidateSource &servers;
};

/*!
 * @brief The course of one call from gate to gate to its end.
 *
 * Gates are first asked whether they can meet the target. When none can, one or two are asked
 * again to serve it late. What was handed to a server counts as an attempt there; it is repeated
 * only if it may run twice, within the attempts of its route and the retry budget. A call that may
 * have run never ends as not run.
 */
class CallCourse
{
public:
    explicit CallCourse(CallTerms terms) : m_terms{std::move(terms)} { }

    /*! @brief The call is new. */
    [[nodiscard]] CallStep begin(const CourseTools &tools, TimePoint now);
    /*! @brief The gate that was asked replied, or its node was lost. */
    [[nodiscard]] CallStep onReply(const ReplyFrame &reply, const CourseTools &tools,
                                   TimePoint now);
    /*! @brief The deadline of the call or the timeout of its route has come. */
    [[nodiscard]] GiveUpStep onTimeout(const CourseTools &tools, TimePoint now);
    /*! @brief The caller left. */
    void onCallerLeft(const CourseTools &tools);

    /*! @return Server whose gate is asked now; empty when none is. */
    [[nodiscard]] const std::string &askedServer() const noexcept { return m_serverId; }
    [[nodiscard]] int asks() const noexcept { return m_asks; }
    [[nodiscard]] int arrivals() const noexcept { return m_arrivals; }
    [[nodiscard]] Millis retryAfter() const noexcept { return m_retryAfter; }
    /*! @return Time within which the last choice of a server made an answer likely. */
    [[nodiscard]] Millis expected() const noexcept { return m_expected; }
    /*! @return True once gates were asked to serve it late. */
    [[nodiscard]] bool takesLate() const noexcept { return m_takesLate; }
    [[nodiscard]] const CallTerms &terms() const noexcept { return m_terms; }

private:
    [[nodiscard]] CallStep advance(const CourseTools &tools, TimePoint now);
    [[nodiscard]] Choice choose(const CourseTools &tools, TimePoint now);
    [[nodiscard]] bool mayRepeat(const CourseTools &tools, TimePoint now) const;
    [[nodiscard]] CallStep onNotRun(const ReplyFrame &reply, const CourseTools &tools,
                                    TimePoint now);
    [[nodiscard]] GiveUpStep giveUp() const;

    CallTerms m_terms;
    std::set<std::string> m_asked; /*!< Servers whose gates were asked, by id. */
    std::string m_serverId;
    int m_asks = 0;
    int m_lateAsks = 0;
    int m_arrivals = 0; /*!< At servers. */
    bool m_mayHaveRun = false;
    bool m_takesLate = false;
    bool m_metBusy = false; /*!< Some gate could not serve it in time. */
    Reason m_lastReason = Reason::None;
    Millis m_retryAfter{0};
    Millis m_expected{0};
};

} // namespace celeryramp::proxy
