#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/random.h"
#include "engine/backend_gate.h"
#include "engine/peer_coordinator.h"
#include "http/caller_connection.h"
#include "links/peer_links.h"
#include "proxy/answer_sizes.h"
#include "proxy/call_dispatcher.h"
#include "proxy/fleet_limiter.h"
#include "proxy/server_picker.h"
#include "proxy/split_chooser.h"
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

    void onRequest(const http::CallerConnectionPtr &connection, http::Request request) override;
    void onBadRequest(int status) override;
    void onClosed(const http::CallerConnectionPtr &connection) override;
    [[nodiscard]] http::RequestLimits requestLimits() const override;

    /*! @brief Serves a newly accepted connection of a caller. */
    void accept(boost::asio::ip::tcp::socket socket, TimePoint now);
    /*! @brief Handles the reply of a peer's gate. A reply that the call does not expect from this
     * peer is ignored. */
    void onReply(const Address &peer, const proxy::ReplyFrame &reply, TimePoint now);
    /*!
     * @brief Fails the attempts that wait for a reply over a lost link.
     * @param wasOpen False if the link never opened, so that nothing was sent on it.
     */
    void onLinkLost(const Address &peer, bool wasOpen, TimePoint now);
    /*! @brief Avoids the servers of a peer that announced its shutdown. */
    void onPeerLeaving(const Address &peer, TimePoint now);
    /*! @return True while any call awaits a reply from this peer. */
    [[nodiscard]] bool isAwaiting(const Address &peer) const;

    /*! @brief Closes connections that are idle or slow beyond the limits, and drops old state. */
    void sweep(TimePoint now);
    /*! @brief Closes each connection, present or new, after its pending answer. */
    void beginShutdown();
    /*! @brief Closes connections that carry no request now. */
    void closeIdleConnections();
    [[nodiscard]] bool isIdle() const noexcept { return m_calls.empty(); }
    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_connections.size(); }

private:
    struct Call
    {
        std::uint64_t id = 0;
        http::CallerConnectionPtr connection;
        directory::DirectoryPtr view;
        const directory::Route *route = nullptr;
        proxy::CallFrame frame;
        proxy::CallDispatcher dispatcher;
        TimePoint arrivedAt;
        Address peer; /*!< Node of the gate that was offered the call last; the host is empty for
                         the local gate. */
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    /*! @brief Answers a request that was offered to no gate. */
    void refuseRequest(const http::CallerConnectionPtr &connection, const std::string &requestId,
                       int status, proxy::Reason reason, std::optional<Millis> retryAfter,
                       const std::string &account = {}, const std::string &detail = {});
    void sendToGate(Call &call, const proxy::OfferStep &step, TimePoint now);
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
    void giveUp(Call &call, const proxy::GiveUpStep &step, TimePoint now);
    void onTimeout(std::uint64_t id);
    void cancelAtGate(Call &call, TimePoint now);

    boost::asio::io_context &m_context;
    DispatcherDependencies m_dependencies;
    proxy::SplitChooser m_splitChooser;
    proxy::ServerPicker m_serverPicker;
    proxy::AnswerSizes m_answerSizes;
    RetryBudget m_retryBudget;
    RandomEngine m_random;
    std::map<std::uint64_t, Call> m_calls;
    std::map<const http::CallerConnection *, std::uint64_t> m_callIdsByConnection;
    std::set<http::CallerConnectionPtr> m_connections;
    std::map<std::string, TimePoint>
            m_leavingNodes; /*!< When nodes announced their shutdown, by host. */
    std::uint64_t m_nextId = 1;
    bool m_isShuttingDown = false;
};

} // namespace celeryramp::engine
