#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/random.h"
#include "directory/freshness_schedule.h"
#include "directory/replica.h"
#include "directory/revision_lag.h"
#include "engine/engine_settings.h"
#include "links/peer_links.h"
#include "observe/metrics_registry.h"
#include "proxy/fleet_limiter.h"
#include "proxy/frames.h"
#include "proxy/usage_aggregator.h"

namespace celeryramp::engine {

/*!
 * @brief Exchanges account usage and published state between nodes.
 *
 * One node in each zone aggregates the usage: the reachable node with the lowest address, as seen
 * by each node. Nodes that disagree on it for a moment make the figures older, not wrong. Nodes get
 * published state that they do not read themselves from the readers of their zone and from peers.
 */
class PeerCoordinator
{
public:
    PeerCoordinator(const EngineSettings &settings, links::PeerLinks &peers,
                    directory::Replica &replica, proxy::FleetLimiter &limiter,
                    MetricsRegistry &metrics, std::uint64_t seed);

    /*! @brief Sends the reports, probes and sync requests that are due. Called every
     * `kTickInterval`. */
    void tick(TimePoint now);

    void onUsage(const Address &peer, const proxy::UsageFrame &frame, TimePoint now);
    void onLevels(const Address &peer, const proxy::LevelsFrame &frame, TimePoint now);
    void onSyncRequest(const Address &peer, const proxy::SyncRequestFrame &frame, TimePoint now);
    /*!
     * @brief Restores the items of a reply from its deltas.
     * @return The items for `Replica::applyList`; nothing if the reply is no news, or if this node
     * lacks what it is based on. The peer is then asked for whole values.
     */
    [[nodiscard]] std::optional<std::vector<directory::ItemChange>>
    onSyncReply(const Address &peer, const proxy::SyncReplyFrame &frame, TimePoint now);
    void onLinkLost(const Address &peer) { m_unansweredSyncs.erase(peer.host); }
    /*! @brief A peer has announced that a state of the source exists. */
    void onAnnounced(const directory::SourcePosition &position, TimePoint now)
    {
        m_lag.onAnnounced(position, now);
    }

    /*!
     * @brief Decides whether this node reads the platform. The first reachable node of a zone reads
     * for all others; a node also reads when its replica is old or known to be behind.
     * @return Pause after changes, or nothing if the node does not read.
     */
    [[nodiscard]] std::optional<Millis> readPause(TimePoint now) const;
    /*! @return Number of other nodes of the zone whose reads have failed lately. */
    [[nodiscard]] std::size_t failingPeers(TimePoint now) const;
    /*! @brief Sets whether this node can read the platform, and tells its zone when that changes.
     */
    void setCanRead(bool canRead, TimePoint now);
    /*! @brief Records whether a node of the zone can read the platform. */
    void onReaderStatus(const Address &peer, bool canRead, TimePoint now);
    /*! @brief Makes this node read up to a position whose changes are too large to be forwarded. */
    void requireRead(const directory::SourcePosition &position) noexcept
    {
        m_requiredPosition = std::max(m_requiredPosition, position);
    }
    /*! @brief Forwards changes that this node has read to its zone, or announces them if they are
     * too large. */
    void forwardChanges(const proxy::ChangesFrame &changesFrame, TimePoint now);
    /*! @brief Sends a frame to all nodes of all zones. */
    void broadcast(const proxy::Frame &frame, TimePoint now);
    /*! @brief Requests the state after this node's position from a peer, unless an earlier request
     * to it may still be answered. @return True if a request was made. */
    bool requestSync(const Address &peer, TimePoint now);

    /*! @brief Handles that a peer has changes which this node cannot apply, since it has missed
     * earlier ones. Requests the state of the peer unless a read is likely to bring it at once.
     * @param position Of the peer. */
    void onMissedChanges(const Address &peer, const directory::SourcePosition &position,
                         TimePoint now);

    /*! @return Addresses of the other nodes of a zone, ordered by host. Includes nodes whose server
     * was published recently. */
    [[nodiscard]] std::vector<Address> nodesInZone(const std::string &zone) const;
    /*! @return Number of nodes whose server is published or was recently, with this one; at least
     * 1. */
    [[nodiscard]] std::size_t nodeCount() const;

    static constexpr Millis kTickInterval{250};

private:
    [[nodiscard]] std::vector<std::string> zones() const;
    [[nodiscard]] bool hasReadFailed(const std::string &host, TimePoint now) const;
    [[nodiscard]] Address aggregatorOf(const std::string &zone, TimePoint now) const;
    /*! @return True if the peer can act for its zone as aggregator or reader. A peer that failed
     * qualifies again only when a link is open, since a frame sent to it is lost if it is still
     * down. */
    [[nodiscard]] bool isReliable(const Address &peer, TimePoint now) const;
    /*! @brief Tries to open links to failed nodes, in order to detect that they are back. */
    void probeFailedNodes(TimePoint now);
    void send(const Address &peer, const proxy::Frame &frame, TimePoint now);
    void send(const Address &peer, std::string frame, TimePoint now); /*!< An encoded frame. */
    /*! @brief Counts an encoded frame with published state. @param kind Label of the metrics. */
    void countStateFrame(const char *kind, std::size_t bytes);
    void reportUsage(TimePoint now);
    /*! @brief Adds the nodes of published servers and drops nodes that are no longer published. */
    void updateKnownNodes(TimePoint now);
    void syncIfStale(TimePoint now);
    /*! @brief Makes this node read if it has lacked an announced revision for too long. */
    void readIfLagging(TimePoint now);
    void sendSyncRequest(const Address &peer, const directory::SourcePosition &position,
                         bool takesDeltas, TimePoint now);
    /*! @brief Requests the state of a peer that reports a later era or version than this node's. */
    void compareState(const Address &peer, const proxy::UsageFrame &frame, TimePoint now);
    /*! @brief Requests the state of a peer that knows a later version of the configuration than
     * this node has found in the source. */
    void syncVersion(const Address &peer, std::uint64_t version, TimePoint now);
    /*! @return Nodes to which changes are pushed: those of the zone, and those that report usage to
     * this node although no server of theirs is published yet or any more. */
    [[nodiscard]] std::vector<Address> subscribers(TimePoint now) const;

    const EngineSettings &m_settings;
    links::PeerLinks &m_peers;
    directory::Replica &m_replica;
    proxy::FleetLimiter &m_limiter;
    MetricsRegistry &m_metrics;
    proxy::UsageAggregator m_usageAggregator;
    RandomEngine m_random;
    TimePoint m_lastDemandAt; /*!< Last demand of accounts at this node. */
    TimePoint m_lastZoneDemandAt; /*!< Last demand in the zone, kept while this node aggregates. */
    TimePoint m_lastZoneReportAt;
    struct KnownNode
    {
        std::string zone;
        TimePoint publishedAt;
    };

    std::map<std::string, KnownNode> m_knownNodes; /*!< Other nodes published recently, by host. */
    TimePoint m_lastReportAt;
    TimePoint m_lastProbeAt;
    directory::FreshnessSchedule m_schedule;
    directory::RevisionLag m_lag;
    std::map<std::string, TimePoint> m_reportedAt; /*!< Last usage report of nodes, by host. */
    std::map<std::string, TimePoint> m_unansweredSyncs; /*!< Time of sync requests, by host. */
    TimePoint m_lastSyncRequestAt;
    directory::SourcePosition m_requiredPosition; /*!< Up to which this node reads by itself. */
    TimePoint m_versionRequestedAt; /*!< When a peer was last asked for a later version. */
    Millis m_versionPause{0}; /*!< Before a peer is asked again. */
    std::uint64_t m_versionAtRequest = 0; /*!< Known when a peer was asked. */
    std::map<std::string, TimePoint>
            m_readFailedAt; /*!< When nodes reported that they cannot read, by host. */
};

} // namespace celeryramp::engine
