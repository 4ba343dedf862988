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

/*! @brief Limits and options of a call, from its route and its caller. */
struct CallPolicy
{
    std::string service;
    bool mayRepeat = false; /*!< It may be executed more than once. */
    int maxAttempts = 1; /*!< Maximum number of servers that may receive it. */
    TimePoint target; /*!< Latest time of an answer within the route's target latency. */
    TimePoint deadline;
    bool maySpill = true; /*!< Servers of other zones may be used to meet the target. */
    bool reportsUnknown = true; /*!< False: failures count as not run, for tests of the checks. */
    std::size_t answerBytes = 0; /*!< Expected length of the answer. */
    bool isNested = false; /*!< Gates serve it before others, also while they are overloaded. */
    double jitter = 0.0; /*!< From 0 to 1; spreads the retries of refused callers. */
    std::optional<TimePoint> callerDeadline; /*!< If later than `deadline`, that of the route. */
};

/*! @brief Next step of a call: offer it to the gate of this server. */
struct OfferStep
{
    const directory::BackendServer *server = nullptr;
    bool mayBeLate = false; /*!< The gate may queue it beyond its target. */
};

/*! @brief Next step of a call: forward the server's answer to the caller. */
struct AnswerStep
{
};

/*! @brief Next step of a call: end it without an answer of a server. */
struct GiveUpStep
{
    int status = 503;
    Reason reason = Reason::None;
    std::optional<Millis> retryAfter; /*!< Set only if no server ran the call or will run it. */
};

using CallStep = std::variant<OfferStep, AnswerStep, GiveUpStep>;

/*! @brief Provides the servers that a call may be sent to. */
class CandidateSource
{
public:
    virtual ~CandidateSource() = default;
    /*! @param excluded Ids of the servers to mark with `Candidate::isExcluded`. */
    [[nodiscard]] virtual std::vector<Candidate> candidates(const std::string &service,
                                                            const std::set<std::string> &excluded,
                                                            TimePoint now) const = 0;
};

/*! @brief Objects that all calls of a node share. */
struct DispatchContext
{
    ServerPicker &picker;
    RetryBudget &retries;
    const CandidateSource &servers;
};

/*!
 * @brief Selects the servers for one call and decides on retries until the call ends.
 *
 * The call is first offered to gates that may meet its target. If all of them refuse and no server
 * received it, a few gates are offered it again for an answer after the target. A call that reached
 * a server counts as an attempt. It is retried after a failure only if it is idempotent, and in all
 * cases only within the attempts of its route and the retry budget. A call that a server may have
 * executed is never reported as not run.
 */
class CallDispatcher
{
public:
    CallDispatcher() = default;
    explicit CallDispatcher(CallPolicy policy) : m_policy{std::move(policy)} { }

    /*! @return The first step of the call. */
    [[nodiscard]] CallStep begin(const DispatchContext &context, TimePoint now);
    /*! @brief Handles the reply of the gate, or the loss of its node. @return The next step. */
    [[nodiscard]] CallStep onReply(const ReplyFrame &reply, const DispatchContext &context,
                                   TimePoint now);
    /*! @return True if the attempt at the pending server may be given up now, since another server
     * can be tried within the attempts and the retry budget. */
    [[nodiscard]] bool canLeaveServer(const DispatchContext &context, TimePoint now) const;
    /*! @brief Ends the call when its deadline or the timeout of its route is reached. */
    [[nodiscard]] GiveUpStep onTimeout(const DispatchContext &context, TimePoint now);
    /*! @brief Ends the call because its node ends before a reply can arrive. */
    [[nodiscard]] GiveUpStep onShutdown(const DispatchContext &context, TimePoint now);
    /*! @brief Handles that the caller closed its connection or cancelled the call. */
    void onCallerLeft(const DispatchContext &context);

    /*! @return Id of the server whose gate has yet to reply; empty if there is none. */
    [[nodiscard]] const std::string &pendingServer() const noexcept { return m_pendingServer; }
    /*! @return Number of gates that the call was offered to. */
    [[nodiscard]] int offers() const noexcept { return m_offers; }
    /*! @return Number of attempts that reached a server. */
    [[nodiscard]] int attempts() const noexcept { return m_attempts; }
    [[nodiscard]] Millis retryAfter() const noexcept { return m_retryAfter; }
    /*! @return Likely latency of the last chosen server, see `Choice`. */
    [[nodiscard]] Millis likelyLatency() const noexcept { return m_likelyLatency; }
    /*! @return True once the call is offered for an answer after its target. */
    [[nodiscard]] bool allowsLate() const noexcept { return m_allowsLate; }
    [[nodiscard]] const CallPolicy &policy() const noexcept { return m_policy; }

private:
    [[nodiscard]] CallStep advance(const DispatchContext &context, TimePoint now);
    [[nodiscard]] Choice choose(const DispatchContext &context, TimePoint now);
    [[nodiscard]] bool mayRepeat(const DispatchContext &context, TimePoint now) const;
    [[nodiscard]] CallStep onNotRun(const ReplyFrame &reply, const DispatchContext &context,
                                    TimePoint now);
    [[nodiscard]] GiveUpStep giveUp(TimePoint now) const;
    /*! @brief Records what a refusal tells of when to return. */
    void noteRefusal(const ReplyFrame &reply);

    CallPolicy m_policy;
    std::set<std::string>
            m_triedServers; /*!< Ids of the servers whose gates were offered the call. */
    std::string m_pendingServer;
    int m_offers = 0;
    int m_lateOffers = 0;
    int m_attempts = 0; /*!< That reached a server. */
    bool m_mayHaveRun = false;
    bool m_allowsLate = false;
    bool m_sawBusy = false; /*!< A gate refused because it could not serve the call in time. */
    Reason m_lastReason = Reason::None;
    Millis m_retryAfter{0};
    Millis m_warmIn{0}; /*!< Shortest time for which a server that refused stays cold. */
    bool m_areAllCold = true; /*!< All gates that refused have cold servers. */
    Millis m_likelyLatency{0};
};

} // namespace celeryramp::proxy
