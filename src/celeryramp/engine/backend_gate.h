#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/running_requests.h"
#include "directory/directory.h"
#include "engine/answer_bodies.h"
#include "engine/engine_settings.h"
#include "http/client_pool.h"
#include "observe/metrics_registry.h"
#include "proxy/crash_registry.h"
#include "proxy/frames.h"
#include "proxy/hang_detector.h"
#include "proxy/header_adapter.h"
#include "proxy/idle_reuse.h"
#include "proxy/server_gate.h"

namespace celeryramp::engine {

/*!
 * @brief Forwards admitted calls to the backend server beside this node and replies to their
 * senders. `proxy::ServerGate` decides which calls are admitted and in which order.
 */
class BackendGate
{
public:
    /*! Origin of the calls of the own node. */
    static constexpr std::string_view kLocalOrigin = "own";

    /*! Receives what a gate sends back to the node of a call. */
    struct Replies
    {
        std::function<void(proxy::ReplyFrame)> onReply;
        /*! Gets the parts of a long body after the reply. Returns false if a part cannot be sent.
         */
        std::function<bool(proxy::BodyFrame)> onBody;
        /*! Called from time to time for a call that may be repeated, while the server seems to
         * hang: another server may become available later. */
        std::function<void(proxy::HungFrame)> onHung;
    };

    BackendGate(boost::asio::io_context &context, const EngineSettings &settings,
                const proxy::HeaderAdapter &headerAdapter, proxy::CrashRegistry &crashes,
                MetricsRegistry &metrics);

    /*!
     * @brief Submits a call for admission.
     * @param origin Identifies the sending node.
     * @param replies `onReply` is called exactly once, unless the call is cancelled.
     */
    void submit(const std::string &origin, proxy::CallFrame call, Replies replies, TimePoint now);

    /*! @brief Allows a call to send further bytes of its body. */
    void addCredit(const std::string &origin, const proxy::CreditFrame &credit);

    /*! @return Reason for which the gate refuses a call whatever its load, or `None`. */
    [[nodiscard]] proxy::Reason reasonToRefuse(const proxy::CallFrame &call) const;
    /*! @brief Limits the answers that are received or sent on, beside what request bodies hold. */
    void setAnswerLimit(std::size_t bytes);

    /*! @brief Cancels a call because its caller disconnected or the sending node is lost. No reply
     * is sent. */
    void cancel(const std::string &origin, std::uint64_t id, TimePoint now);

    /*! @brief Cancels all calls of a node whose link is lost. */
    void cancelAll(const std::string &origin, TimePoint now);

    /*! @brief Applies a new view of the published state. */
    void onDirectory(const directory::DirectoryPtr &view, TimePoint now);

    /*! Receives the requests that were running when the backend server went down. */
    using CrashHandler = std::function<void(const std::vector<proxy::SuspectFrame> &)>;
    void setCrashHandler(CrashHandler handler) { m_crashHandler = std::move(handler); }

    /*! @brief Refuses queued and new calls, since the node stops before they could end. Running
     * calls continue. */
    void stopAdmitting(TimePoint now);

    /*! @brief Closes all connections to the server and forgets the calls on them. */
    void abandon(TimePoint now);

    /*! @brief Performs periodic work: closes idle connections and, while calls wait, probes a
     * server whose state is unknown. */
    void sweep(TimePoint now);

    [[nodiscard]] bool isIdle() const noexcept { return m_calls.empty() && m_bodies.size() == 0; }
    [[nodiscard]] const std::string &serverId() const noexcept { return m_server.id; }
    /*! @return Load of the gate and state of the server, for the senders of calls. */
    [[nodiscard]] proxy::GateLoad load(TimePoint now);

    /*! @return Requests that the server runs now, whose calls are nested in them. */
    [[nodiscard]] const admission::RunningRequests &runningRequests() const noexcept
    {
        return m_runningRequests;
    }

    /*! @brief Records a call that the server made for a request that it runs. */
    void onNestedCallEnded(const std::string &parentId, TimePoint begunAt, TimePoint now)
    {
        m_runningRequests.onCallEnded(parentId, begunAt, now);
    }
    /*! @return Number of calls that the server gets at a time. */
    [[nodiscard]] int concurrency(TimePoint now) const { return m_admission.concurrency(now); }
    /*! @return Bytes of answers that were read from the server and not sent yet. */
    [[nodiscard]] std::size_t unsentBytes() const { return m_bodies.unsentBytes(); }

private:
    struct Call
    {
        std::string origin;
        proxy::CallFrame frame;
        Replies replies;
        TimePoint arrivedAt;
        TimePoint deadline;
        TimePoint handedOverAt;
        http::ClientConnectionPtr connection;
        bool isRunning = false;
        bool isStreaming = false; /*!< The head of the answer was sent. */
        std::size_t linkBytes = 0; /*!< Expected bytes of the answer on the link. */
    };

    /*! @return Expected bytes of the answer on the link if they matter to it, or 0. */
    [[nodiscard]] static std::size_t linkBytes(const Call &call);
    /*! @brief Corrects the expected bytes of an answer once its length is known. */
    void settleLink(Call &call, std::size_t bytes, TimePoint now);
    void dispatchWaiting(TimePoint now);
    /*! @brief Dispatches after the events that have arrived by now. A cancel among them then comes
     * before its call is handed over. */
    void scheduleDispatch();
    void sendToServer(std::uint64_t ticket, TimePoint now);
    void onAnswerHead(std::uint64_t ticket, http::Answer head, std::optional<std::uint64_t> length);
    void onAnswerBytes(std::uint64_t ticket, std::string_view bytes);
    void onExchangeEnd(std::uint64_t ticket, http::ExchangeEnd end, http::Answer answer);
    void refuse(std::uint64_t ticket, proxy::Reason reason, TimePoint now);
    void finish(std::uint64_t ticket, proxy::ReplyFrame reply, proxy::HandoverOutcome outcome,
                TimePoint now);
    /*! @return True if the memory limit allows one more answer to be received. */
    [[nodiscard]] bool hasRoomForAnswer() const noexcept;
    void armExpiryTimer();
    /*! @brief Reports repeatable calls that wait at a server that hangs, so that they can be tried
     * elsewhere. */
    void reportHungCalls(TimePoint now);
    /*! @brief Closes the gate, since the server at the address is not the published one. It reopens
     * with the next published incarnation, or when a health probe finds the published one. */
    void onMismatch(const std::string &requestId, TimePoint now);
    /*! @brief Treats the server as cold until a health probe reports its state. */
    void assumeCold(const char *cause);
    /*! @brief Applies what an answer of the server says of its state. */
    void onServerState(const proxy::AnswerMetadata &answer, TimePoint now);
    /*! @brief Applies the rate limit that an answer of the server names, or its absence. */
    void onRateLimit(const proxy::AnswerMetadata &answer, TimePoint now);
    /*! @brief Passes the requests that may have crashed the server to the crash handler. */
    void reportCrash(TimePoint now);
    void probeIfNeeded(TimePoint now);
    /*! @param error Why the answer was not used, if it ended as `ExchangeEnd::Malformed`. */
    void onProbeEnd(http::ExchangeEnd end, const http::Answer &answer, http::AnswerError error,
                    TimePoint now);
    [[nodiscard]] proxy::Reason reasonToClose() const;
    void updateClosed(TimePoint now);

    boost::asio::io_context &m_context;
    TimePoint m_startedAt; /*!< An earlier process on this host may have run until then. */
    std::uint64_t m_startedUnixMillis; /*!< The same as Unix time in milliseconds. */
    boost::asio::steady_timer m_expiryTimer;
    boost::asio::steady_timer m_probeTimer;
    const EngineSettings &m_settings;
    const proxy::HeaderAdapter &m_headerAdapter;
    proxy::CrashRegistry &m_crashes;
    MetricsRegistry &m_metrics;
    CrashHandler m_crashHandler;
    http::ClientPool m_pool;
    int m_maxAnswers; /*!< Answers that may be received or sent on at a time. */
    proxy::ServerGate m_admission;
    admission::RunningRequests m_runningRequests;
    proxy::HangDetector m_hangs;
    proxy::IdleReuse m_idleReuse;
    directory::DirectoryPtr m_view;
    directory::BackendServer
            m_server; /*!< The server beside this node; the id is empty if it is unknown. */
    directory::Service m_service;
    std::map<std::uint64_t, Call> m_calls; /*!< By ticket. */
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>
            m_ticketsByCallId; /*!< By origin and call id. */
    AnswerBodies m_bodies;
    std::uint64_t m_nextTicket = 1;
    TimePoint m_lastProbeAt;
    bool m_needsProbe = true; /*!< It is unknown whether the server is cold or warm. */
    http::ClientConnectionPtr m_probeConnection;
    bool m_isProbing = false;
    bool m_isServerLeaving = false; /*!< Announced in an answer; the store may not say so yet. */
    bool m_isMismatched = false; /*!< The server rejected the id under which it is published. */
    bool m_isShuttingDown = false;
    bool m_isExpiryTimerArmed = false;
    bool m_isDispatchScheduled = false;
};

} // namespace celeryramp::engine
