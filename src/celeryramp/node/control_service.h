#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include <nlohmann/json_fwd.hpp>

#include "core/ring.h"
#include "distribution/distributor.h"
#include "distribution/pause_guard.h"
#include "distribution/rumour_distributor.h"
#include "membership/failure_detector.h"
#include "membership/listed_members.h"
#include "membership/membership_view.h"
#include "node/control_event.h"
#include "node/document_target.h"
#include "node/fleet_view.h"
#include "node/message_sender.h"
#include "node/node_settings.h"
#include "node/shared_value.h"
#include "observe/metrics_registry.h"

namespace celeryramp {

/*! @brief Callbacks of the control service. */
class ControlHooks
{
public:
    virtual ~ControlHooks() = default;

    /*! @brief Called when a new configuration takes effect. */
    virtual void onSnapshot(SnapshotPtr snapshot, TimePoint now) = 0;

    /*! @brief Called when this node becomes or ceases to be a platform reader of its zone. */
    virtual void onReaderChanged(bool isReader) = 0;

    /*! @brief Called when the process resumes after a pause. */
    virtual void onPaused(Millis pause, TimePoint now) = 0;

    /*! @brief Called repeatedly until a configuration is in force; connects to peers. */
    virtual void onNoConfiguration() = 0;
};

/*!
 * @brief Manages configuration, membership and rumours on a thread of its own.
 * Its event queue is bounded. Events that do not fit are dropped and counted; later heartbeats
 * repair the loss.
 */
class ControlService final : public DocumentTarget
{
public:
    ControlService(const NodeSettings &settings, std::uint64_t incarnation,
                   SharedValue<Snapshot> &snapshot, SharedValue<FleetView> &fleet,
                   MessageSender &sender, ControlHooks &hooks, MetricsRegistry &metrics);
    ~ControlService() override;
    ControlService(const ControlService &) = delete;
    ControlService &operator=(const ControlService &) = delete;

    void start();
    void stop();

    /*! @brief Queues an event. @return False when the queue is full. */
    bool push(ControlEvent event);

    /*! @return Stamp of the configuration in force. */
    [[nodiscard]] ConfigStamp stamp() const;

    /*! @return True when a platform document with this stamp is worth fetching. */
    [[nodiscard]] bool isWanted(const ConfigStamp &stamp) const override;

    /*! @return Document in force. Its unchanged parts need not be read again. */
    [[nodiscard]] ConfigDocument document() const override;

    /*! @brief Queues a document read from the platform. */
    void onDocument(ConfigDocument document, TimePoint readAt) override;

    /*! @return True once a peer has sent its configuration to this process. */
    [[nodiscard]] bool hasPeerAnswered() const noexcept { return m_peerAnswered; }

    /*! @return Time since the platform last confirmed the configuration. */
    [[nodiscard]] Millis confirmedAgo(TimePoint now) const;

    /*! @return True after the process was paused, until the configuration is confirmed again. */
    [[nodiscard]] bool areKeysUntrusted(TimePoint now) const;

    /*! @return State for the operator port. */
    [[nodiscard]] nlohmann::json state(TimePoint now) const;

private:
    void loop();
    void handle(const ControlEvent &event, TimePoint now);
    void handle(const PeerMessageEvent &event, TimePoint now);
    void handle(const PeerUpEvent &event, TimePoint now);
    void handle(const PeerLostEvent &event, TimePoint now);
    void handle(const PlatformDocumentEvent &event, TimePoint now);
    void handle(const PlatformManifestEvent &event, TimePoint now);
    void handle(const InstanceListEvent &event, TimePoint now);
    void handle(const PublishEvent &event, TimePoint now);
    void handle(const LeaveEvent &event, TimePoint now);
    void onHeartbeat(const HeartbeatMessage &message, TimePoint now);
    void tick(TimePoint now);
    void pullFromKnownPeer(TimePoint now);
    [[nodiscard]] bool mustWaitForPeers(TimePoint now) const;
    void sendHeartbeats(TimePoint now);
    void publishSuspicions(TimePoint now);
    void refuteSuspicions(TimePoint now);
    void publishRumours(const std::vector<Rumour> &rumours, TimePoint now);
    void adoptSnapshot(TimePoint now);
    void publishFleet();
    void notePause(Millis pause, TimePoint now);
    void flush();
    void logRejections();
    [[nodiscard]] IsUsable usable() const;
    [[nodiscard]] ReaderRole readerRole() const;

    const NodeSettings &m_settings;
    SharedValue<Snapshot> &m_snapshot;
    SharedValue<FleetView> &m_fleet;
    MessageSender &m_sender;
    ControlHooks &m_hooks;
    BoundedRing<ControlEvent> m_ring;
    Counter &m_pauses;
    Counter &m_suspicions;
    /*! Guards the state read by the operator port and the platform reader. */
    mutable std::mutex m_mutex;
    Distributor m_distributor;
    RumourDistributor m_rumours;
    MembershipView m_view;
    FailureDetector m_detector;
    Outbox m_out;
    ListedMembers m_listedMembers;
    std::uint64_t m_incarnation;
    std::uint64_t m_fleetDigest = 0;
    std::uint64_t m_loggedRejections = 0;
    /*! Peers to pull from until a configuration is in force. */
    std::vector<std::string> m_knownPeers;
    std::size_t m_bootstrapPulls = 0;
    std::size_t m_peersAsked = 0;
    std::atomic<bool> m_peerAnswered{false};
    bool m_leaving = false;
    bool m_superseded = false;
    ReaderRole m_role = ReaderRole::None;
    std::uint64_t m_heartbeats = 0;
    /*! Wall clock, for the operator port only. */
    std::chrono::system_clock::time_point m_inForceSince;
    /*! Platform document deferred until peers have answered. */
    std::optional<PlatformDocumentEvent> m_deferredDocument;
    TimePoint m_startedAt;
    TimePoint m_lastTick;
    PauseGuard m_pauseGuard;
    TimePoint m_lastHeartbeat;
    TimePoint m_lastBootstrapPull;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace celeryramp
