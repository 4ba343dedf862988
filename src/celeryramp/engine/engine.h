#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/result.h"
#include "directory/item_sink.h"
#include "directory/replica.h"
#include "engine/call_desk.h"
#include "engine/engine_settings.h"
#include "engine/fleet_talk.h"
#include "engine/status_port.h"
#include "http/listener.h"
#include "links/peer_links.h"
#include "observe/metrics_registry.h"

namespace celeryramp::engine {

/*! @brief Why a node could not start. */
struct EngineError
{
    std::string place;
    std::string reason;
};

/*! @brief What a deployment brings to the engine; all outlive it. */
struct EnginePorts
{
    const proxy::Dialect &dialect;
    const directory::ItemDecoder &decoder;
    directory::ItemSource &source;
    std::string readinessPath; /*!< Asked of the readiness address. */
    std::string metricsPath; /*!< Asked of the metrics address. */
};

/*! @brief The duty that owns all sockets of a node: callers, peers, own server, published state. */
class Engine final : public links::LinkEvents, public directory::ItemSink
{
public:
    Engine(boost::asio::io_context &context, EngineSettings settings, EnginePorts ports);
    ~Engine() override;

    /*! @brief Listens and begins to read what is published. */
    [[nodiscard]] Result<void, EngineError> start();

    /*!
     * @brief Takes no new work, serves what is under way, then stops the context.
     * At the latest shortly before the grace of the settings ends.
     */
    void leave(TimePoint now);

    void onFrame(const Address &peer, std::string_view bytes) override;
    void onLinkOpen(const Address &peer) override;
    void onLinkLost(const Address &peer, bool wasOpen) override;
    [[nodiscard]] bool isAwaiting(const Address &peer) const override;

    void onList(const std::vector<directory::ItemChange> &items, std::int64_t revision,
                TimePoint askedAt) override;
    void onChanges(const std::vector<directory::ItemChange> &changes, std::int64_t revision,
                   TimePoint askedAt) override;
    void onSourceFailed(const std::string &reason) override;
    [[nodiscard]] std::int64_t heldRevision() const override;
    [[nodiscard]] std::optional<Millis> readPause() const override;

private:
    void tick();
    void onNews(const Address &peer, const proxy::NewsFrame &news, TimePoint now);
    void onSync(const proxy::SyncReplyFrame &reply, TimePoint now);
    void onBeliefs(const std::vector<directory::ReplicaEvent> &beliefs, const char *source,
                   TimePoint now);
    void onSourceAnswered(TimePoint now);
    void finishLeaving(TimePoint now);
    [[nodiscard]] bool wasSourceAway(TimePoint now) const;
    [[nodiscard]] http::Answer respondReadiness(std::string_view path) const;
    [[nodiscard]] http::Answer respondMetrics(std::string_view path) const;

    boost::asio::io_context &m_context;
    EngineSettings m_settings;
    EnginePorts m_ports;
    MetricsRegistry m_metrics;
    directory::Replica m_replica;
    links::PeerLinks m_peers;
    proxy::FleetLimiter m_limiter;
    proxy::CrashRegistry m_crashes;
    BackendGate m_gate;
    FleetTalk m_talk;
    CallDesk m_desk;
    http::Listener m_callers;
    StatusPort m_readiness;
    StatusPort m_metricsPort;
    boost::asio::steady_timer m_tick;
    directory::DirectoryPtr m_gateView; /*!< The view that the gate was told of last. */
    TimePoint m_sourceFailedAt;
    bool m_hasSourceFailed = false;
    bool m_isSourceDown = false;
    TimePoint m_leavingSince;
    bool m_isLeaving = false;
    bool m_hasStoppedListening = false;
};

} // namespace celeryramp::engine
