#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/random.h"
#include "directory/replica.h"
#include "engine/engine_settings.h"
#include "links/peer_links.h"
#include "proxy/fleet_limiter.h"
#include "proxy/frames.h"
#include "proxy/usage_ledger.h"

namespace celeryramp::engine {

/*!
 * @brief What nodes tell one another beside calls: use of accounts, and what is published when a
 * node cannot read it itself.
 *
 * In each zone one node adds the use up, the reachable one with the lowest address by each node's
 * own view; two nodes that disagree for a moment make the figures older, not wrong.
 */
class FleetTalk
{
public:
    FleetTalk(const EngineSettings &settings, links::PeerLinks &peers, directory::Replica &replica,
              proxy::FleetLimiter &limiter, std::uint64_t seed);

    /*! @brief Reports, adds up and asks as far as it is time. Called every `kTalkInterval`. */
    void tick(TimePoint now);

    void onUsage(const Address &peer, const proxy::UsageFrame &frame, TimePoint now);
    void onLevels(const Address &peer, const proxy::LevelsFrame &frame, TimePoint now);
    void onSyncRequest(const Address &peer, const proxy::SyncRequestFrame &frame, TimePoint now);

    /*!
     * @brief Whether this node reads the platform: the first nodes of each zone do for all, and
     * any node does whose own knowledge grows old.
     * @return Pause after changes, or nothing when the node does not read.
     */
    [[nodiscard]] std::optional<Millis> readPause(TimePoint now) const;
    /*! @brief Whether this node can read the platform now; told to the zone when it changes. */
    void setCanRead(bool canRead, TimePoint now);
    /*! @brief A node of the zone tells whether it can read. */
    void onReader(const Address &peer, bool canRead, TimePoint now);
    /*! @brief News up to this revision are too large to be passed on; each node reads them. */
    void readUpTo(std::int64_t revision) noexcept { m_readTo = std::max(m_readTo, revision); }
    /*! @brief Passes what this node has just read itself on to its zone. */
    void passOn(const proxy::NewsFrame &news, TimePoint now);
    /*! @brief Tells all nodes that can be reached. */
    void tellAll(const proxy::Frame &frame, TimePoint now);
    /*! @brief Asks a peer for all that it holds beyond the own revision. */
    void askPeer(const Address &peer, TimePoint now);

    /*! @return Addresses of all nodes of a zone but the own one, in order; also of those whose
     * server was published lately. */
    [[nodiscard]] std::vector<Address> nodesOf(const std::string &zone) const;
    /*! @return Number of nodes that the directory names, at least 1. */
    [[nodiscard]] std::size_t nodeCount() const;

    static constexpr Millis kTalkInterval{250};

private:
    [[nodiscard]] std::vector<std::string> zones() const;
    [[nodiscard]] bool isUnable(const std::string &host, TimePoint now) const;
    [[nodiscard]] Address adderOf(const std::string &zone, TimePoint now) const;
    /*! @return True when the peer may be relied on for the whole zone. A try at a peer that failed
     * takes with it what it carries, so such peers come back only with an open link. */
    [[nodiscard]] bool isSteady(const Address &peer, TimePoint now) const;
    /*! @brief Opens links to nodes that failed, so that they are seen when they are back. */
    void probeFailed(TimePoint now);
    void send(const Address &peer, const proxy::Frame &frame, TimePoint now);
    void talkAboutUsage(TimePoint now);
    /*! @brief Remembers whose server is published. */
    void rememberNodes(TimePoint now);
    void askWhenStale(TimePoint now);

    const EngineSettings &m_settings;
    links::PeerLinks &m_peers;
    directory::Replica &m_replica;
    proxy::FleetLimiter &m_limiter;
    proxy::UsageLedger m_ledger;
    RandomEngine m_random;
    TimePoint m_usedAt; /*!< When anything was last asked for by callers here. */
    TimePoint m_zoneUsedAt; /*!< The same of the zone, where this node adds up. */
    TimePoint m_zoneReportedAt;
    struct Seen
    {
        std::string zone;
        TimePoint at;
    };

    std::map<std::string, Seen> m_seen; /*!< Other nodes published lately, by host. */
    TimePoint m_reportedAt;
    TimePoint m_probedAt;
    TimePoint m_syncAskedAt;
    std::int64_t m_readTo = 0; /*!< Revision up to which this node reads for itself. */
    std::map<std::string, TimePoint> m_unableAt; /*!< Nodes that could not read, by host. */
};

} // namespace celeryramp::engine
