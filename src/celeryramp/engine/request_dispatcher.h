#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/refused_requests.h"
#include "core/random.h"
#include "engine/backend_gate.h"
#include "engine/caller_connections.h"
#include "engine/peer_coordinator.h"
#include "engine/zone_monitor.h"
#include "http/caller_connection.h"
#include "links/peer_links.h"
#include "proxy/answer_sizes.h"
#include "proxy/call_dispatcher.h"
#include "proxy/fleet_limiter.h"
#include "proxy/leaving_peers.h"
#include "proxy/server_picker.h"
#include "proxy/shutdown_schedule.h"
#include "proxy/split_chooser.h"
#include "proxy/upload_window.h"
#include "routing/retry_budget.h"

namespace celeryramp::engine {

/*! @brief Parts of a node that the dispatcher uses; all outlive it. */
struct DispatcherDependencies
{
    const EngineSettings &settings;
    const proxy::HeaderAdapter &headerAdapter;
    directory::Replica &replica;
    links::PeerLinks &peers;
    BackendGate &gate;
    PeerCoordinator &coordinator;
    admission::BodyBudget &bodies; /*!< Memory of request bodies. */
    proxy::FleetLimiter &limiter;
    proxy::CrashRegistry &crashes;
    MetricsRegistry &metrics;
};

/*!
 * @brief Handles the requests of callers from arrival to answer.
 *
 * Authenticates the caller, enforces the account's rate limit, chooses a server and sends the
 * request to the gate of that server. Retries at another server where that is safe.
 */
class RequestDispatcher final : public http::CallerEvents, private proxy::CandidateSource
{
public:
    RequestDispatcher(boost::asio::io_context &context, DispatcherDependencies dependencies,
                      std::uint64_t seed);

    void onRequest(http::ResponseWriter response, http::Request request) override;
    void onBadRequest(int status) override;
    void onClosed(const http::CallerConnectionPtr &connection) override;
    [[nodiscard]] http::RequestLimits requestLimits() const override;
    [[nodiscard]] bool mayOverlap(const http::Request &request) const override;
    [[nodiscard]] bool mayHold(const http::CallerConnectionPtr &connection,
                               std::size_t bytes) override;
    void onBodyWritten(const http::CallerConnection &connection, std::uint64_t id,
                       std::size_t bytes) override;

    /*! @brief Serves a newly accepted connection of a caller. */
    void accept(boost::asio::ip::tcp::socket socket, TimePoint now);
    /*! @brief Handles the reply of a peer's gate. A reply that the call does not expect from this
     * process is ignored. */
    void onReply(const links::PeerProcess &peer, const proxy::ReplyFrame &reply, TimePoint now);
    /*! @brief Fails a call whose answer, or a part of it, came in a frame that cannot be decoded.
     */
    void onUnreadableAnswer(const links::PeerProcess &peer, std::uint64_t id, TimePoint now);
    /*! @brief Passes a part of a long body on to the caller. */
    void onBody(const links::PeerProcess &peer, proxy::BodyFrame part, TimePoint now);
    /*! @brief Sends more of a long request body to the gate of a peer. */
    void onUploadCredit(const links::PeerProcess &peer, const proxy::UploadCreditFrame &credit,
                        TimePoint now);
    /*! @brief Records that anything arrived from a peer. */
    void onPeerHeard(const Address &peer, TimePoint now) { m_zones.onHeard(peer, now); }
    /*! @brief Records that the calls which waited for a link to a node were sent to this process.
     */
    void onLinkOpen(const links::PeerProcess &peer);
    /*! @brief Fails the attempts that wait for a reply over a lost link. */
    void onLinkLost(const links::PeerProcess &peer, links::LinkLoss loss, TimePoint now);
    /*! @brief Tries a call elsewhere whose server seems to hang, if that is possible. Otherwise it
     * keeps waiting. */
    void onHung(const links::PeerProcess &peer, std::uint64_t id, TimePoint now);
    /*!
     * @brief Retries the calls that may be repeated and wait for a reply of a peer that is silent.
     * The other calls keep waiting: the peer may only be slow, and may be executing them.
     */
    void onLinkSilent(const links::PeerProcess &peer, TimePoint now);
    /*! @brief Keeps the calls waiting that were sent to a peer before it opened another link. */
    void onLinkReplaced(const links::PeerProcess &peer);
    /*! @brief Avoids the servers of a peer that announced its shutdown. */
    void onPeerLeaving(const links::PeerProcess &peer, TimePoint now);
    /*!
     * @brief Retries the calls that a process did not reply to before it shut down; it executed
     * none of them. Calls on a silent link keep waiting, since their reply may be under way on it.
     */
    void onPeerClosed(const links::PeerProcess &peer, TimePoint now);
    /*! @return True while any call awaits a reply from this process. */
    [[nodiscard]] bool isAwaiting(const links::PeerProcess &peer) const;

    /*! @brief Closes connections that are idle or slow beyond the limits, and drops old state. */
    void sweep(TimePoint now);

    /*! @return Number of refused requests whose callers may retry them. */
    [[nodiscard]] std::size_t refusedRequests() const noexcept { return m_refusedRequests.size(); }
    [[nodiscard]] const CallerConnections &connections() const noexcept { return m_connections; }
    /*! @brief Closes each connection, present or new, after its pending answer. Requests that could
     * outlast the shutdown are refused. */
    void beginShutdown(const proxy::ShutdownSchedule &shutdown);
    /*! @brief Ends all calls with an answer that says whether a server may have run them. */
    void endCalls(TimePoint now);
    /*! @brief Closes connections that have carried no request for a moment. */
    void closeIdleConnections(TimePoint now) { m_connections.closeIdle(kIdleBeforeClose, now); }
    /*! @brief Closes all connections and forgets their calls. */
    void abandon() { m_connections.closeAll(); }
    [[nodiscard]] bool isIdle() const noexcept { return m_calls.empty(); }

private:
    /*! Time without a request after which a leaving node closes a connection. The first request of
     *  a new connection arrives within it. */
    static constexpr Millis kIdleBeforeClose{150};

    struct Call
    {
        std::uint64_t id = 0;
        http::ResponseWriter response;
        directory::DirectoryPtr view;
        const directory::Route *route = nullptr;
        proxy::CallFrame frame;
        proxy::CallDispatcher dispatcher;
        TimePoint arrivedAt;
        std::uint64_t serverStartedMillis = 0; /*!< Of the server that was offered it last. */
        links::PeerProcess
                peer; /*!< With the gate that was offered the call last, the only one that
                         can tell what became of it. The host is empty for the local gate;
                         the process is not known while the call waits for a link. */
        TimePoint callerDeadline;
        std::string parentId; /*!< Request that the own server sent it for, if it runs. */
        std::uint64_t digest = 0; /*!< Recognizes the request if its caller returns. */
        bool isOnSilentLink = false; /*!< Sent on a link that has become silent since. */
        bool isStreaming = false; /*!< The body of the answer arrives in parts. */
        int streamStatus = 0; /*!< Status of the answer that has begun. */
        std::optional<std::uint64_t> streamLength; /*!< Announced length of its body. */
        std::uint64_t bodyReceived = 0; /*!< Bytes of the body received so far. */
        TimePoint streamBeganAt;
        std::uint64_t bodyCredited = 0; /*!< Bytes that the gate was told it may replace. */
        proxy::UploadWindow upload; /*!< Of a long body, to the gate that was offered it last. */
        std::uint64_t bodyUnacknowledged = 0; /*!< Bytes sent to the caller, without credit yet. */
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    /*! @brief Why a request is not offered to any gate. */
    struct Refusal
    {
        int status = 503;
        proxy::Reason reason = proxy::Reason::None;
        std::optional<Millis> retryAfter;
        std::string detail; /*!< For the log. */
    };

    /*! @return Refusal because of the API key, or because keys cannot be checked now. */
    [[nodiscard]] std::optional<Refusal> refusalOfKey(const directory::KeyCheck &check,
                                                      TimePoint now) const;
    /*! @return Refusal because of the shutdown, the rate of the account or an earlier crash. */
    [[nodiscard]] std::optional<Refusal> refusalOfLoad(const directory::ClientAccount *account,
                                                       const http::Request &request,
                                                       TimePoint deadline, TimePoint now);
    /*! @brief Answers a request that was offered to no gate. */
    void refuseRequest(const http::ResponseWriter &response, const std::string &requestId,
                       int status, proxy::Reason reason, std::optional<Millis> retryAfter,
                       const std::string &account = {}, const std::string &detail = {});
    void sendToGate(Call &call, const proxy::OfferStep &step, TimePoint now);
    /*! @brief Sends of a long request body what the window and the link allow. */
    void sendUpload(Call &call, TimePoint now);
    /*! @brief Looks for zones that are silent, and tries repeatable calls elsewhere that wait
     * there. */
    void pollZones(TimePoint now);
    /*! @brief Logs and counts an answer that the gate of a call has sent and that is not used. */
    void recordPeerError(const Call &call, http::AnswerError error);
    /*! @return Why the answer of another node is not used; `None` if it is. */
    [[nodiscard]] http::AnswerError checkReply(const Call &call,
                                               const proxy::ReplyFrame &reply) const;
    void onGateReply(std::uint64_t id, const proxy::ReplyFrame &reply, TimePoint now);
    [[nodiscard]] std::vector<proxy::Candidate> candidates(const std::string &service,
                                                           const std::set<std::string> &excluded,
                                                           TimePoint now) const override;
    /*!
     * @brief Carries out the next step of a call.
     * @param reply Holds the answer for an `AnswerStep`; may be null for other steps.
     */
    void executeStep(Call &call, const proxy::CallStep &step, const proxy::ReplyFrame *reply,
                     TimePoint now);
    [[nodiscard]] proxy::DispatchContext dispatchContext()
    {
        return {m_serverPicker, m_retryBudget, *this};
    }
    void answer(Call &call, const http::Answer &answer, proxy::Reason reason, TimePoint now);
    /*! @brief Begins the answer to the caller with the first part of a long body. */
    void beginStream(Call &call, const proxy::ReplyFrame &reply, TimePoint now);
    void sendCredit(Call &call, std::uint64_t bytes, TimePoint now);
    /*! @brief Fails an answer of which the body cannot be completed. */
    void abortStream(Call &call, proxy::Reason reason, TimePoint now);
    /*! @brief Counts and logs the end of a call. */
    void recordEnd(const Call &call, int status, proxy::Reason reason, TimePoint now);
    void removeCall(const Call &call);
    void armTimer(Call &call, TimePoint until, TimePoint now);
    /*! @return True if a reply or a part of a body is due. */
    [[nodiscard]] static bool isExpecting(const Call &call);
    /*! @return True if it is due from the gate of this process. */
    [[nodiscard]] static bool isExpecting(const Call &call, const links::PeerProcess &peer);
    /*! @return Route that serves the request, or null. */
    [[nodiscard]] static const directory::Route *findRoute(const directory::RoutingTable &routing,
                                                           const http::Request &request);
    [[nodiscard]] std::vector<std::uint64_t> callsExpecting(const links::PeerProcess &peer) const;
    /*! @brief Tries calls elsewhere that may be repeated and wait for a silent peer. */
    void leaveSilent(const std::vector<std::uint64_t> &ids, TimePoint now);
    /*!
     * @brief Ends an offer to which its gate has not replied.
     * @param cause Whose word ended it, for the log.
     * @param reply Takes the place of the missing one.
     */
    void endOffer(Call &call, const char *cause, const proxy::ReplyFrame &reply, TimePoint now);
    void giveUp(Call &call, const proxy::GiveUpStep &step, TimePoint now);
    void onTimeout(std::uint64_t id);
    /*! @brief Cancels the call at its gate if that still owes a reply or a part of the body. */
    void cancelAtGate(Call &call, TimePoint now);
    void cancelOffer(const Call &call, TimePoint now);

    boost::asio::io_context &m_context;
    DispatcherDependencies m_dependencies;
    proxy::SplitChooser m_splitChooser;
    proxy::ServerPicker m_serverPicker;
    proxy::AnswerSizes m_answerSizes;
    admission::RefusedRequests m_refusedRequests;
    RetryBudget m_retryBudget;
    RandomEngine m_random;
    std::map<std::uint64_t, Call> m_calls;
    /*! Calls by connection and number of the request on it. */
    std::map<std::pair<const http::CallerConnection *, std::uint64_t>, std::uint64_t>
            m_callIdsByResponse;
    CallerConnections m_connections;
    proxy::LeavingPeers m_leavingPeers;
    ZoneMonitor m_zones;
    bool m_isPollingZones = false;
    std::uint64_t m_nextId = 1;
    std::optional<proxy::ShutdownSchedule> m_shutdown;
};

} // namespace celeryramp::engine
