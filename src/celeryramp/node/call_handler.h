#pragma once

#include <string>

#include "core/random.h"
#include "core/result.h"
#include "gate/context_table.h"
#include "gate/reservation.h"
#include "node/admission_controller.h"
#include "node/call_failure.h"
#include "node/call_state.h"
#include "node/node_settings.h"
#include "node/request_router.h"
#include "node/shared_value.h"
#include "node/waiter_table.h"
#include "observe/metrics_registry.h"
#include "transport/http_listener.h"

namespace celeryramp {

/*! @brief Node state that the call handler depends on. */
class NodeStatus
{
public:
    virtual ~NodeStatus() = default;

    /*! @return True when the node may serve calls. */
    [[nodiscard]] virtual bool isReady(TimePoint now) const = 0;

    /*! @return True while the node shuts down; callers' connections are then closed. */
    [[nodiscard]] virtual bool isLeaving() const = 0;

    /*! @return Time since the configuration was last confirmed. */
    [[nodiscard]] virtual Millis confirmedAgo(TimePoint now) const = 0;

    /*! @return True after the process was paused, until the configuration is confirmed again. */
    [[nodiscard]] virtual bool areKeysUntrusted(TimePoint now) const = 0;
};

/*!
 * @brief Processes a call in steps: receive, identify, admit, reserve, deliver, settle, answer.
 * Each step is one function. A step that ends the call returns the outcome and the reason.
 */
class CallHandler
{
public:
    CallHandler(const NodeSettings &settings, const NodeStatus &nodeStatus,
                const SharedValue<Snapshot> &snapshot, const SharedValue<FleetView> &fleet,
                ContextTable &contexts, RequestRouter &router, AdmissionController &admission,
                MessageSender &sender, MetricsRegistry &metrics);

    /*! @brief Processes one call and returns its response. Thread-safe. */
    [[nodiscard]] HttpResponse serve(const HttpRequest &request, CallOrigin origin);

    /*! @brief Handles an answer from a gate, including late and mismatched answers. */
    void onAnswer(AnswerMessage answer);

    /*! @brief Handles the vote of a ledger home. */
    void onVote(VoteMessage vote);

    /*! @brief Handles a call that was definitely not sent. */
    void onCallUnsent(std::uint64_t id);

    /*! @brief Handles a reservation request that was definitely not sent. */
    void onVoteUnsent(std::uint64_t id, const std::string &home);

    /*! @brief Handles the loss of a link. Calls sent over it may have run. */
    void onLinkLost(LinkId link);

    /*! @return Number of calls in flight. */
    [[nodiscard]] int inFlight() const noexcept { return m_inFlight; }

    /*! @return Number of answers that no call was waiting for. */
    [[nodiscard]] std::uint64_t lateAnswers() const { return m_calls.unclaimed(); }

private:
    using Step = Result<bool, CallFailure>;

    [[nodiscard]] Result<AnswerMessage, CallFailure> process(CallState &call,
                                                             const HttpRequest &request);
    [[nodiscard]] Step receive(CallState &call, const HttpRequest &request) const;
    [[nodiscard]] Step identify(CallState &call, const HttpRequest &request) const;
    [[nodiscard]] Step identifyExternalCall(CallState &call, const HttpRequest &request) const;
    [[nodiscard]] Step identifyLocalServerCall(CallState &call, const HttpRequest &request) const;
    [[nodiscard]] Step admit(CallState &call);
    [[nodiscard]] Result<std::optional<AnswerMessage>, CallFailure> reserve(CallState &call);
    [[nodiscard]] ReservationState collectVotes(const CallState &call, Reservation &reservation);
    [[nodiscard]] Result<AnswerMessage, CallFailure> deliver(CallState &call);
    [[nodiscard]] AnswerMessage attempt(CallState &call, const std::string &server);
    /*! @return True if an answer cannot be passed on; it is then logged and counted. */
    [[nodiscard]] bool isRejected(const std::string &request, const std::string &sender,
                                  const AnswerMessage &answer);
    [[nodiscard]] bool shouldRetry(CallState &call, const AnswerMessage &answer);
    void settle(const CallState &call, const Result<AnswerMessage, CallFailure> &result);
    [[nodiscard]] HttpResponse makeResponse(const CallState &call,
                                            const Result<AnswerMessage, CallFailure> &result);
    [[nodiscard]] HttpResponse failureResponse(const CallState &call, const CallFailure &ending);

    const NodeSettings &m_settings;
    const NodeStatus &m_nodeStatus;
    const SharedValue<Snapshot> &m_snapshot;
    const SharedValue<FleetView> &m_fleet;
    ContextTable &m_contexts;
    RequestRouter &m_router;
    AdmissionController &m_admission;
    MessageSender &m_sender;
    MetricsRegistry &m_metrics;
    Counter &m_answered;
    Counter &m_retries;
    Counter &m_crossed;
    LatencySummary &m_latency;
    WaiterTable<AnswerMessage> m_calls;
    WaiterTable<VoteMessage> m_votes;
    std::atomic<int> m_inFlight{0};
};

} // namespace celeryramp
