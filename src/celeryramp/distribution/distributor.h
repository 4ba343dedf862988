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

/*! @brief Interval at which a reader announces the version in force, changed or not. */
inline constexpr Millis kConfirmInterval{3000};
/*! @brief A pull without an answer for this long goes to the next announcer. */
inline constexpr Millis kPullTimeout{400};

/*! @brief Counters of the distributor. */
struct DistributorCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t deltasSent = 0;
    std::uint64_t wholesSent = 0;
    std::uint64_t deltasApplied = 0;
    std::uint64_t deltasUnusable = 0;
    std::uint64_t pulls = 0;
    std::uint64_t pullTimeouts = 0;
    std::uint64_t announcements = 0;
};

/*!
 * @brief Brings a configuration to every node: announcements down a tree, pulls of deltas, repair
 * by heartbeats.
 *
 * Decides only: no I/O, no clock, no thread. Whatever the membership view says, a document takes
 * effect only through Acceptance, so that wrong views cost time and never order.
 */
class Distributor
{
public:
    /*!
     * @param self Name of this node's server.
     * @param zone Its zone.
     * @param mode How announcements spread.
     * @param incarnation Start of the announcement sequence, above that of the predecessor.
     */
    Distributor(std::string self, std::string zone, std::uint64_t incarnation,
                DistributionMode mode = DistributionMode::Tree);

    /*! @brief A complete document was read from the platform. @return True when it came in force.
     */
    bool onPlatformDocument(ConfigDocument document, const IsUsable &isUsable, TimePoint now,
                            Outbox &out);

    /*! @brief The platform answered and had nothing newer. */
    void onPlatformConfirmed(TimePoint now);

    /*! @brief A peer says what it has. */
    void onAnnounce(const std::string &from, const AnnounceMessage &message,
                    const IsUsable &isUsable, TimePoint now, Outbox &out);

    /*! @brief A peer asks for the configuration in force. */
    void onPull(const std::string &from, const PullMessage &message, TimePoint now, Outbox &out);

    /*! @brief A peer sent a configuration. @return True when it came in force. */
    bool onDocument(const std::string &from, const DocumentMessage &message,
                    const IsUsable &isUsable, TimePoint now, Outbox &out);

    /*! @brief A peer's heartbeat tells its version. */
    void onHeartbeat(const HeartbeatMessage &message, TimePoint now, Outbox &out);

    /*! @brief Asks a peer for its configuration, at start or when nothing is known. */
    void pullFrom(const std::string &peer, TimePoint now, Outbox &out);

    /*! @brief Repeats what timed out; a reader confirms the version in force now and then. */
    void tick(ReaderRole role, const IsUsable &isUsable, TimePoint now, Outbox &out);

    [[nodiscard]] const Acceptance &acceptance() const noexcept { return m_acceptance; }
    [[nodiscard]] const Topology &topology() const noexcept { return m_topology; }
    [[nodiscard]] const DistributorCounters &counters() const noexcept { return m_counters; }

    /*! @return Age of the last confirmation by the platform, own or by a peer's word. */
    [[nodiscard]] Millis confirmedAgo(TimePoint now) const;

    /*! @return True when the platform ever confirmed, directly or through peers. */
    [[nodiscard]] bool isConfirmed() const noexcept { return m_confirmedAt.has_value(); }

private:
    struct Pull
    {
        std::string peer;
        ConfigStamp wanted;
        TimePoint sentAt;
    };

    bool accept(ConfigDocument document, TimePoint now);
    /*! @brief Passes on what was announced while this node was behind. @return False for nothing.
     */
    bool passOnHeard(const IsUsable &isUsable, TimePoint now, Outbox &out);
    void announceAsRoot(bool acrossZones, const IsUsable &isUsable, TimePoint now, Outbox &out);
    void announceAcrossZones(const AnnounceMessage &message, const IsUsable &isUsable,
                             Outbox &out) const;
    void announceDown(const AnnounceMessage &message, const IsUsable &isUsable, Outbox &out);
    [[nodiscard]] bool noteSequence(const AnnounceMessage &message);
    void gossip(const IsUsable &isUsable, TimePoint now, Outbox &out);
    void startPull(Pull pull, bool wholeOnly, Outbox &out);
    void confirm(std::uint32_t agoMs, TimePoint now);
    [[nodiscard]] std::uint32_t confirmedAgoMs(TimePoint now) const;
    [[nodiscard]] AnnounceMessage announcement(const std::string &root, TimePoint now) const;

    std::string m_self;
    std::string m_zone;
    Acceptance m_acceptance;
    Topology m_topology;
    std::map<std::string, std::uint64_t> m_lastSequence; /*!< Per root. */
    std::uint64_t m_sequence = 0;
    DistributionMode m_mode;
    RandomEngine m_random;
    std::map<std::string, AnnounceMessage> m_heard; /*!< Newer than in force, by root. */
    std::optional<Pull> m_pull;
    std::optional<Pull> m_alternative; /*!< Another peer that announced the same or more. */
    std::optional<TimePoint> m_confirmedAt;
    TimePoint m_lastAnnounce;
    std::uint64_t m_confirmations = 0; /*!< Announcements made without a change. */
    DistributorCounters m_counters;
};

} // namespace celeryramp
