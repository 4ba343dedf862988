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
#include "membership/membership_view.h"
#include "node/cell.h"
#include "node/control_event.h"
#include "node/document_target.h"
#include "node/fleet_view.h"
#include "node/node_settings.h"
#include "node/post_office.h"
#include "observe/metrics_registry.h"

namespace celeryramp {

/*! @brief What the control duty asks of its surroundings. */
class ControlHooks
{
public:
    virtual ~ControlHooks() = default;

    /*! @brief A configuration came in force. */
    virtual void onSnapshot(SnapshotPtr snapshot, TimePoint now) = 0;

    /*! @brief Whether this node is to read the platform as one of its zone's readers. */
    virtual void onReaderChanged(bool isReader) = 0;

    /*! @brief The process was paused and has woken up. */
    virtual void onPaused(Millis pause, TimePoint now) = 0;

    /*! @brief Nothing is known yet: look for peers. */
    virtual void onStillEmpty() = 0;
};

/*!
 * @brief The duty that owns configuration, membership and small facts.
 * Its ring is bounded; what finds it full is dropped, counted and repaired by later heartbeats.
 */
class ControlDuty final : public DocumentTarget
{
public:
    ControlDuty(const NodeSettings &settings, std::uint64_t incarnation, Cell<Snapshot> &snapshot,
                Cell<FleetView> &fleet, PostOffice &post, ControlHooks &hooks,
                MetricsRegistry &metrics);
    ~ControlDuty() override;
    ControlDuty(const ControlDuty &) = delete;
    ControlDuty &operator=(const ControlDuty &) = delete;

    void start();
    void stop();

    /*! @brief Hands an event over. @return False when the ring is full. */
    bool push(ControlEvent event);

    /*! @return Stamp in force, for the duty that reads the platform. */
    [[nodiscard]] ConfigStamp stamp() const;

    /*! @return True when a platform document with this stamp is worth fetching. */
    [[nodiscard]] bool isWanted(const ConfigStamp &stamp) const override;

    /*! @return Document in force, so that unchanged parts need no reading. */
    [[nodiscard]] ConfigDocument document() const override;

    /*! @brief The platform publishes this document. */
    void onDocument(ConfigDocument document) override;

    /*! @return True when a peer told this incarnation what it has in force. */
    [[nodiscard]] bool hasPeerAnswered() const noexcept { return m_peerAnswered; }

    /*! @return Age of the last confirmation by the platform. */
    [[nodiscard]] Millis confirmedAgo(TimePoint now) const;

    /*! @return True after a pause of this process, until the configuration is confirmed. */
    [[nodiscard]] bool doubtsKeys(TimePoint now) const;

    /*! @return State for operators. */
    [[nodiscard]] nlohmann::json state(TimePoint now) const;

private:
    void loop();
    void handle(const ControlEvent &event, TimePoint now);
    void handle(const PeerMessageEvent &event, TimePoint now);
    void handle(const PeerUpEvent &event, TimePoint now);
    void handle(const PeerLostEvent &event, TimePoint now);
    void handle(const PlatformDocumentEvent &event, TimePoint now);
    void handle(const PlatformConfirmedEvent &event, TimePoint now);
    void handle(const InstanceListEvent &event, TimePoint now);
    void handle(const PublishEvent &event, TimePoint now);
    void handle(const LeaveEvent &event, TimePoint now);
    void onHeartbeat(const HeartbeatMessage &message, TimePoint now);
    void tick(TimePoint now);
    void search(TimePoint now);
    [[nodiscard]] bool mustHearPeers(TimePoint now) const;
    void sendHeartbeats(TimePoint now);
    void reportMissing(TimePoint now);
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
    Cell<Snapshot> &m_snapshot;
    Cell<FleetView> &m_fleet;
    PostOffice &m_post;
    ControlHooks &m_hooks;
    BoundedRing<ControlEvent> m_ring;
    Counter &m_pauses;
    Counter &m_suspicions;
    mutable std::mutex m_mutex; /*!< Guards what operators and the platform duty look at. */
    Distributor m_distributor;
    RumourDistributor m_rumours;
    MembershipView m_view;
    FailureDetector m_detector;
    Outbox m_out;
    std::uint64_t m_incarnation;
    std::uint64_t m_listIndex = 0;
    std::uint64_t m_fleetDigest = 0;
    std::uint64_t m_loggedRejections = 0;
    std::vector<std::string> m_knownPeers; /*!< To ask again while nothing is known. */
    std::size_t m_searches = 0;
    std::size_t m_peersAsked = 0;
    std::atomic<bool> m_peerAnswered{false};
    bool m_leaving = false;
    bool m_superseded = false;
    ReaderRole m_role = ReaderRole::None;
    std::uint64_t m_heartbeats = 0;
    std::chrono::system_clock::time_point m_inForceWall; /*!< For operators only. */
    std::optional<ConfigDocument> m_heldDocument; /*!< Of the platform, until peers are heard. */
    TimePoint m_startedAt;
    TimePoint m_lastTick;
    PauseGuard m_pauseGuard;
    TimePoint m_lastHeartbeat;
    TimePoint m_lastSearch;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace celeryramp
