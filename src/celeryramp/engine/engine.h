#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/result.h"
#include "directory/item_sink.h"
#include "directory/replica.h"
#include "engine/engine_settings.h"
#include "engine/incoming_uploads.h"
#include "engine/peer_coordinator.h"
#include "engine/request_dispatcher.h"
#include "engine/status_endpoint.h"
#include "http/listener.h"
#include "links/peer_links.h"
#include "observe/metrics_registry.h"
#include "proxy/shutdown_schedule.h"
#include "proxy/stop_notice.h"
#include "proxy/transit_delay.h"

namespace celeryramp::engine {

/*! @brief Error of a node that could not start. */
struct EngineError
{
    std::string place;
    std::string reason;
};

/*! @brief Adapters and paths that a deployment supplies; the referenced objects outlive the engine.
 */
struct DeploymentBindings
{
    const proxy::HeaderAdapter &headerAdapter;
    const directory::ItemDecoder &decoder;
    directory::ItemSource &source;
    std::string readinessPath; /*!< Served at the readiness address. */
    std::string metricsPath; /*!< Served at the metrics address. */
};

/*! @brief Runs one node: owns the links to callers, peers and the backend server, and keeps the
 * replica of the published state. */
class Engine final : public links::LinkEvents, public directory::ItemSink
{
public:
    Engine(boost::asio::io_context &context, EngineSettings settings, DeploymentBindings bindings);
    ~Engine() override;

    /*! @brief Opens the listening sockets and starts reading the published state.
     * @return Nothing, or the address that cannot be listened on and why. */
    [[nodiscard]] Result<void, EngineError> start();

    /*!
     * @brief Begins a graceful shutdown of the node: stops admitting work, finishes running calls,
     * then stops the context. Shortly before the grace period of the settings ends, the calls that
     * are left get an answer of the node, and the context is stopped.
     */
    void beginShutdown(TimePoint now);

    /*! @brief Ends the node at once: closes all connections and stops the context. Calls that run
     * are cut off. */
    void stop(TimePoint now);

    /*! @return Bytes of responses that callers have not taken yet. */
    [[nodiscard]] std::size_t callerBytes() const
    {
        return m_dispatcher.connections().unsentBytes();
    }

    void onFrame(const links::PeerProcess &peer, std::string_view bytes) override;
    void onPeerHeard(const Address &peer) override;
    void onLinkOpen(const links::PeerProcess &peer) override;
    void onLinkLost(const links::PeerProcess &peer, links::LinkLoss loss) override;
    void onLinkSilent(const links::PeerProcess &peer) override;
    void onLinkReplaced(const links::PeerProcess &peer) override;
    [[nodiscard]] bool isAwaiting(const links::PeerProcess &peer) const override;

    [[nodiscard]] bool onList(const std::vector<directory::ItemChange> &items,
                              const directory::SourcePosition &position,
                              TimePoint askedAt) override;
    [[nodiscard]] bool onChanges(const std::vector<directory::ItemChange> &changes,
                                 const directory::SourcePosition &position,
                                 TimePoint askedAt) override;
    void onSourceFailed(const std::string &reason, TimePoint requestedAt) override;
    void onSourceEra(std::int64_t era) override;
    void onResponseRejected(std::string_view reason) override;
    [[nodiscard]] directory::SourcePosition heldPosition() const override;
    [[nodiscard]] std::optional<Millis> readPause() const override;
    [[nodiscard]] std::size_t failingPeers() const override;

private:
    void tick();
    void onChangesFrame(const Address &peer, const proxy::ChangesFrame &changesFrame,
                        TimePoint now);
    void onSyncReply(const Address &peer, const proxy::SyncReplyFrame &reply, TimePoint now);
    /*! @brief Logs changes of the replica and passes a new view to the gate. */
    void onDirectoryChanged(const std::vector<directory::ReplicaEvent> &beliefs, const char *source,
                            TimePoint now);
    void onSourceAnswered(TimePoint requestedAt, TimePoint now);
    /*! @brief Counts a state that confirms the replica, unless a later one is held.
     *  @param by Label of the metric. */
    void countConfirmation(const char *by, const directory::SourcePosition &position);
    /*! @return True once the node has stopped. */
    [[nodiscard]] bool continueShutdown(TimePoint now);
    /*! @brief Tells a peer how far the shutdown has come. */
    void sendShutdownState(const links::PeerProcess &peer, TimePoint now);
    void onCallFrame(const links::PeerProcess &peer, proxy::CallFrame call, TimePoint now);
    void onUploadFrame(const links::PeerProcess &peer, const proxy::UploadFrame &part,
                       TimePoint now);
    /*! @brief Offers a call of a peer to the gate once all of it has arrived. */
    void submitCall(const links::PeerProcess &peer, proxy::CallFrame call, TimePoint now);
    [[nodiscard]] http::Answer respondReadiness(std::string_view path) const;
    [[nodiscard]] http::Answer respondMetrics(std::string_view path);

    boost::asio::io_context &m_context;
    EngineSettings m_settings;
    DeploymentBindings m_bindings;
    MetricsRegistry m_metrics;
    admission::BodyBudget m_bodies;
    IncomingUploads m_uploads;
    directory::Replica m_replica;
    links::PeerLinks m_peers;
    proxy::FleetLimiter m_limiter;
    proxy::CrashRegistry m_crashes;
    proxy::TransitDelay m_transitDelay;
    BackendGate m_gate;
    PeerCoordinator m_coordinator;
    RequestDispatcher m_dispatcher;
    http::Listener m_callerListener;
    StatusEndpoint m_readinessEndpoint;
    StatusEndpoint m_metricsEndpoint;
    boost::asio::steady_timer m_tickTimer;
    directory::DirectoryPtr m_gateView; /*!< View last passed to the gate. */
    bool m_isSourceDown = false;
    std::int64_t m_sourceEra = 0; /*!< Last one that the source has named; 0 before. */
    std::optional<proxy::ShutdownSchedule> m_shutdown;
    bool m_hasStoppedListening = false;
    bool m_hasEndedCalls = false; /*!< Those that were left at the end of the shutdown. */
    proxy::StopNotice m_stopNotice; /*!< By `links::PeerProcess::text` of the peers. */
};

} // namespace celeryramp::engine
