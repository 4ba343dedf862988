#pragma once

#include <string>

#include "core/random.h"
#include "core/result.h"
#include "gate/context_table.h"
#include "gate/reservation.h"
#include "node/accounts_desk.h"
#include "node/cell.h"
#include "node/ending.h"
#include "node/node_settings.h"
#include "node/road_call.h"
#include "node/routing_desk.h"
#include "node/waiter_table.h"
#include "observe/metrics_registry.h"
#include "transport/http_listener.h"

namespace celeryramp {

/*! @brief What the road needs of its node. */
class RoadSurroundings
{
public:
    virtual ~RoadSurroundings() = default;

    /*! @return True when calls may be served. */
    [[nodiscard]] virtual bool isReady(TimePoint now) const = 0;

    /*! @return True while the node leaves, so that connections are ended. */
    [[nodiscard]] virtual bool isLeaving() const = 0;

    /*! @return Age of the last confirmation of the configuration. */
    [[nodiscard]] virtual Millis confirmedAgo(TimePoint now) const = 0;

    /*! @return True after a pause of this process, until the configuration is confirmed. */
    [[nodiscard]] virtual bool doubtsKeys(TimePoint now) const = 0;
};

/*!
 * @brief The one road of a call: receive, identify, admit, reserve, deliver, settle, answer.
 * Each step is one function; a step that ends the road says how and why.
 */
class Road
{
public:
    Road(const NodeSettings &settings, const RoadSurroundings &around,
         const Cell<Snapshot> &snapshot, const Cell<FleetView> &fleet, ContextTable &contexts,
         RoutingDesk &routing, AccountsDesk &accounts, PostOffice &post, MetricsRegistry &metrics);

    /*! @brief Serves one call to its end. Called by many threads at a time. */
    [[nodiscard]] HttpResponse serve(const HttpRequest &request, Door door);

    /*! @brief A gate's answer arrived, late and crossed ones included. */
    void onAnswer(AnswerMessage answer);

    /*! @brief A ledger home voted. */
    void onVote(VoteMessage vote);

    /*! @brief A call was certainly not sent. */
    void onCallUnsent(std::uint64_t id);

    /*! @brief A reservation was certainly not sent. */
    void onVoteUnsent(std::uint64_t id, const std::string &home);

    /*! @brief A link ended; calls sent over it may have run. */
    void onLinkLost(LinkId link);

    /*! @return Number of calls on the road. */
    [[nodiscard]] int underWay() const noexcept { return m_underWay; }

    /*! @return Answers that came too late or crossed. */
    [[nodiscard]] std::uint64_t lateAnswers() const { return m_calls.unclaimed(); }

private:
    using Step = Result<bool, Ending>;

    [[nodiscard]] Result<AnswerMessage, Ending> travel(RoadCall &call, const HttpRequest &request);
    [[nodiscard]] Step receive(RoadCall &call, const HttpRequest &request) const;
    [[nodiscard]] Step identify(RoadCall &call, const HttpRequest &request) const;
    [[nodiscard]] Step identifyOutside(RoadCall &call, const HttpRequest &request) const;
    [[nodiscard]] Step identifyInside(RoadCall &call, const HttpRequest &request) const;
    [[nodiscard]] Step admit(RoadCall &call);
    [[nodiscard]] Result<std::optional<AnswerMessage>, Ending> reserve(RoadCall &call);
    [[nodiscard]] ReservationState collectVotes(const RoadCall &call, Reservation &reservation);
    [[nodiscard]] Result<AnswerMessage, Ending> deliver(RoadCall &call);
    [[nodiscard]] AnswerMessage attempt(RoadCall &call, const std::string &server);
    [[nodiscard]] bool mayTryAgain(RoadCall &call, const AnswerMessage &answer);
    void settle(const RoadCall &call, const Result<AnswerMessage, Ending> &result);
    [[nodiscard]] HttpResponse answer(const RoadCall &call,
                                      const Result<AnswerMessage, Ending> &result);
    [[nodiscard]] HttpResponse ownAnswer(const RoadCall &call, const Ending &ending);

    const NodeSettings &m_settings;
    const RoadSurroundings &m_around;
    const Cell<Snapshot> &m_snapshot;
    const Cell<FleetView> &m_fleet;
    ContextTable &m_contexts;
    RoutingDesk &m_routing;
    AccountsDesk &m_accounts;
    PostOffice &m_post;
    MetricsRegistry &m_metrics;
    Counter &m_answered;
    Counter &m_retries;
    Counter &m_crossed;
    LatencySummary &m_latency;
    WaiterTable<AnswerMessage> m_calls;
    WaiterTable<VoteMessage> m_votes;
    std::atomic<int> m_underWay{0};
};

} // namespace celeryramp
