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

#include "directory/directory.h"
#include "engine/engine_settings.h"
#include "http/client_pool.h"
#include "observe/metrics_registry.h"
#include "proxy/crash_registry.h"
#include "proxy/dialect.h"
#include "proxy/frames.h"
#include "proxy/server_gate.h"

namespace celeryramp::engine {

/*! @brief Carries out the decisions of the gate in front of the own backend server. */
class BackendGate
{
public:
    using Reply = std::function<void(proxy::ReplyFrame)>;

    BackendGate(boost::asio::io_context &context, const EngineSettings &settings,
                const proxy::Dialect &dialect, proxy::CrashRegistry &crashes,
                MetricsRegistry &metrics);

    /*! @brief A call came. @param origin Names the sending node. @param reply Called once unless
     * the call is cancelled. */
    void offer(const std::string &origin, proxy::CallFrame call, Reply reply, TimePoint now);

    /*! @brief The caller of a call left, or its node is gone. */
    void cancel(const std::string &origin, std::uint64_t id, TimePoint now);

    /*! @brief All calls of a node whose link is lost. */
    void cancelAll(const std::string &origin, TimePoint now);

    /*! @brief What is published changed. */
    void onDirectory(const directory::DirectoryPtr &view, TimePoint now);

    /*! Gets what was under way when the own server went down. */
    using Crashed = std::function<void(const std::vector<proxy::SuspectFrame> &)>;
    void setCrashedHandler(Crashed crashed) { m_crashed = std::move(crashed); }

    /*! @brief Takes no new calls: the node ends before they could. Running ones go on. */
    void leave(TimePoint now);

    /*! @brief Work that waits for time to pass. */
    void sweep(TimePoint now);

    [[nodiscard]] bool isIdle() const noexcept { return m_calls.empty(); }
    [[nodiscard]] const std::string &serverId() const noexcept { return m_server.id; }
    [[nodiscard]] proxy::GateLoad load(TimePoint now) { return m_gate.load(now); }

    /*! @return Rank of the work that the server does now, for calls that it sends itself: the
     * median of what runs, or nothing when nothing is known to run. */
    [[nodiscard]] std::optional<int> runningRank() const;

private:
    struct Call
    {
        std::string origin;
        proxy::CallFrame frame;
        Reply reply;
        TimePoint arrived;
        TimePoint deadline;
        TimePoint handedOver;
        http::ClientConnectionPtr connection;
        bool isRunning = false;
    };

    void pump(TimePoint now);
    void handOver(std::uint64_t ticket, TimePoint now);
    void onEnded(std::uint64_t ticket, http::ExchangeEnd end, http::Answer answer);
    void refuse(std::uint64_t ticket, proxy::Reason reason, TimePoint now);
    void finish(std::uint64_t ticket, proxy::ReplyFrame reply, proxy::HandoverEnd end,
                TimePoint now);
    void armTimer();
    void doubtServer(const char *why);
    void tellCrash(TimePoint now);
    void probeIfDoubted(TimePoint now);
    [[nodiscard]] proxy::Reason closedReason() const;
    void updateClosed(TimePoint now);

    TimePoint m_startedAt; /*!< A predecessor of this process ended before. */
    boost::asio::steady_timer m_timer;
    const EngineSettings &m_settings;
    const proxy::Dialect &m_dialect;
    proxy::CrashRegistry &m_crashes;
    MetricsRegistry &m_metrics;
    Crashed m_crashed;
    http::ClientPool m_pool;
    proxy::ServerGate m_gate;
    directory::DirectoryPtr m_view;
    directory::BackendServer m_server; /*!< The own server; without id when none is known. */
    directory::Service m_service;
    std::map<std::uint64_t, Call> m_calls; /*!< By ticket. */
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_tickets;
    std::uint64_t m_nextTicket = 1;
    TimePoint m_probedAt;
    bool m_isDoubted = true; /*!< Whether the server is warm is not known. */
    bool m_isProbing = false;
    bool m_isLeaving = false;
    bool m_isTimerArmed = false;
};

} // namespace celeryramp::engine
