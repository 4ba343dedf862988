#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace celeryramp::proxy {

/*!
 * @brief Detects availability zones from which nothing arrives, before the links to each of their
 * nodes have timed out one by one.
 *
 * A zone that owes a response and is quiet is pinged at several of its nodes. If none of them
 * answers, the zone is suspected: calls are sent to the others. Any byte from it ends the
 * suspicion, so a wrong one lasts for a round trip.
 */
class ZoneReachability
{
public:
    /*! Quiet time of a zone that owes a response after which it is pinged. */
    static constexpr Millis kQuietTime{80};
    /*! Time between pings of different nodes of a quiet zone. */
    static constexpr Millis kPingInterval{50};
    /*! Time without an answer to any ping after which a zone is suspected. */
    static constexpr Millis kPingTimeout{120};
    /*! Time between pings of a suspected zone. */
    static constexpr Millis kProbeInterval{300};
    /*! Nodes that have to leave a ping unanswered; a single one may only be slow. */
    static constexpr std::size_t kMinPeers = 2;
    /*! Time between two calls of `poll` after which this node itself was held up, and what has
     * arrived meanwhile is not read yet. */
    static constexpr Millis kOwnStall{400};

    /*! @brief Records a frame to a node of a zone that has to respond. */
    void onSent(const std::string &zone, TimePoint now);
    /*! @brief Records that anything arrived from a node of a zone.
     * @return True if the zone was suspected until then. */
    bool onHeard(const std::string &zone, TimePoint now);
    /*! @brief Records a ping, or an attempt to open a link, to a node of a zone. */
    void onPinged(const std::string &zone, const std::string &host, TimePoint now);

    /*! @brief Result of `poll`. */
    struct Actions
    {
        std::vector<std::string> toPing; /*!< Zones of which one more node should be pinged. */
        std::vector<std::string> suspected; /*!< Zones that are suspected from now on. */
    };
    /*! @brief To be called before each call to another zone and periodically. */
    [[nodiscard]] Actions poll(TimePoint now);

    [[nodiscard]] bool isSuspected(const std::string &zone) const;
    [[nodiscard]] bool isAnySuspected() const noexcept { return m_suspectedCount > 0; }
    /*! @return True if this node was pinged since the zone was last heard. */
    [[nodiscard]] bool wasPinged(const std::string &zone, const std::string &host) const;

private:
    /*! A zone that owes a response. */
    struct Quiet
    {
        TimePoint since;
        TimePoint lastPingAt;
        TimePoint enoughPingedAt; /*!< When `kMinPeers` nodes had been pinged. */
        std::set<std::string> pinged; /*!< Hosts. */
        bool isSuspected = false;
    };

    std::map<std::string, Quiet> m_quiet; /*!< By zone. */
    std::size_t m_suspectedCount = 0;
    TimePoint m_polledAt;
};

} // namespace celeryramp::proxy
