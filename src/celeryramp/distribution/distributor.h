#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "config/acceptance.h"
#include "core/random.h"
#include "core/time.h"
#include "distribution/distribution_mode.h"
#include "distribution/outbox.h"
#include "distribution/reader_role.h"
#include "membership/topology.h"
#include "wire/control_messages.h"

namespace celeryramp {

/*! @brief Interval at which a reader announces the version in force, even without a change. */
inline constexpr Millis kConfirmInterval{3000};
/*! @brief Time after which an unanswered pull is sent to another peer that announced. */
inline constexpr Millis kPullTimeout{400};

/*! @brief Event counters of a Distributor since its construction. */
struct DistributorCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t deltasSent = 0;
    std::uint64_t fullDocumentsSent = 0;
    std::uint64_t deltasApplied = 0;
    std::uint64_t deltasUnusable = 0;
    std::uint64_t pulls = 0;
    std::uint64_t pullTimeouts = 0;
    std::uint64_t announcements = 0;
};

/*!
 * @brief Distributes configurations to all nodes.
 *
 * New versions are announced along a tree, nodes pull deltas from the sender of an announcement,
 * and heartbeats repair what is missed. The class performs no I/O, reads no clock and starts no
 * thread. A document takes effect only through Acceptance. A wrong membership view can therefore
 * delay a version, but never bring an older one in force.
 */
class Distributor
{
public:
    /*!
     * @param self Name of the server of this node.
     * @param zone Availability zone of that server.
     * @param incarnation Start of the announcement sequence; must be above the sequence of the
     * previous process of this server.
     * @param mode How announcements spread.
     */
    Distributor(std::string self, std::string zone, std::uint64_t incarnation,
                DistributionMode mode = DistributionMode::Tree);

    /*!
     * @brief Offers a document that was read from the platform, and announces it once accepted.
     * @param readAt When its manifest was read.
     * @return True if the document came in force.
     */
    bool onPlatformDocument(ConfigDocument document, TimePoint readAt, const IsUsable &isUsable,
                            TimePoint now, Outbox &out);

    /*!
     * @brief Records what the platform had at that time: a confirmation of the version in force, or
     * other content under its number, which is rejected.
     */
    void onPlatformManifest(const ConfigStamp &stamp, TimePoint readAt, TimePoint now);

    /*! @brief Handles the version that a peer announces: pulls it, forwards it or answers it. */
    void onAnnounce(const std::string &from, const AnnounceMessage &message,
                    const IsUsable &isUsable, TimePoint now, Outbox &out);

    /*! @brief Answers a pull with a delta if the base is known, else with the full document. */
    void onPull(const std::string &from, const PullMessage &message, TimePoint now, Outbox &out);

    /*!
     * @brief Handles the answer to a pull.
     * @return True if the document came in force.
     */
    bool onDocument(const std::string &from, const DocumentMessage &message,
                    const IsUsable &isUsable, TimePoint now, Outbox &out);

    /*! @brief Pulls from the sender if its version is newer; announces if it is older. */
    void onHeartbeat(const HeartbeatMessage &message, TimePoint now, Outbox &out);

    /*! @brief Pulls the configuration of a peer, whichever version it has. */
    void pullFrom(const std::string &peer, TimePoint now, Outbox &out);

    /*! @brief Handles pull timeouts; readers also announce the version in force periodically. */
    void tick(ReaderRole role, const IsUsable &isUsable, TimePoint now, Outbox &out);

    [[nodiscard]] const Acceptance &acceptance() const noexcept { return m_acceptance; }
    [[nodiscard]] const Topology &topology() const noexcept { return m_topology; }
    [[nodiscard]] const DistributorCounters &counters() const noexcept { return m_counters; }

    /*! @return Time since the last known confirmation by the platform, direct or through peers. */
    [[nodiscard]] Millis confirmedAgo(TimePoint now) const;

    /*! @return True once a confirmation by the platform is known, direct or through peers. */
    [[nodiscard]] bool isConfirmed() const noexcept { return m_confirmedAt.has_value(); }

private:
    struct Pull
    {
        std::string peer;
        ConfigStamp wanted;
        TimePoint sentAt;
    };

    bool accept(ConfigDocument document, TimePoint now);
    /*!
     * @brief Forwards announcements of the version that has now come in force.
     * @return False if there were none.
     */
    bool forwardPendingAnnouncements(const IsUsable &isUsable, TimePoint now, Outbox &out);
    void announceAsRoot(bool acrossZones, const IsUsable &isUsable, TimePoint now, Outbox &out);
    void announceAcrossZones(const AnnounceMessage &message, const IsUsable &isUsable,
                             Outbox &out) const;
    void announceToChildren(const AnnounceMessage &message, const IsUsable &isUsable, Outbox &out);
    [[nodiscard]] bool recordSequence(const AnnounceMessage &message);
    void gossip(const IsUsable &isUsable, TimePoint now, Outbox &out);
    void startPull(Pull pull, bool requestFull, Outbox &out);
    void confirm(std::uint32_t agoMs, TimePoint now);
    void confirm(TimePoint at);
    [[nodiscard]] std::uint32_t confirmedAgoMs(TimePoint now) const;
    [[nodiscard]] AnnounceMessage announcement(const std::string &root, TimePoint now) const;

    std::string m_self;
    std::string m_zone;
    Acceptance m_acceptance;
    Topology m_topology;
    std::map<std::string, std::uint64_t> m_lastSequence; /*!< Highest sequence number per root. */
    std::uint64_t m_sequence = 0;
    DistributionMode m_mode;
    RandomEngine m_random;
    /*! Announcements of versions newer than the one in force, by root. */
    std::map<std::string, AnnounceMessage> m_pendingAnnouncements;
    std::optional<Pull> m_pull;
    /*! Another announcer, used after a timeout. Its version is at most that of m_pull. */
    std::optional<Pull> m_alternative;
    std::optional<TimePoint> m_confirmedAt;
    TimePoint m_lastAnnounce;
    std::uint64_t m_confirmations = 0; /*!< Periodic announcements made. */
    DistributorCounters m_counters;
};

} // namespace celeryramp
