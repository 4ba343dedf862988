#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace celeryramp {

/*! @brief Interval between two heartbeats to the same member. */
inline constexpr Millis kHeartbeatInterval{2000};
/*! @brief Time without a heartbeat after which an observer suspects a member. */
inline constexpr Millis kSuspicionTimeout{3 * kHeartbeatInterval};

/*! @brief A member that this node suspects to have failed. */
struct MissingMember
{
    std::string server;
    std::uint64_t incarnation = 0; /*!< Highest incarnation received in its heartbeats. */
};

/*!
 * @brief Detects the failure of members that send heartbeats to this node.
 *
 * A member is reported as missing after `kSuspicionTimeout` without a heartbeat, or as soon as a
 * connection to it is refused. Members that never sent a heartbeat are not monitored.
 */
class FailureDetector
{
public:
    /*! @brief Records a heartbeat and starts to monitor the member if necessary. */
    void recordHeartbeat(const std::string &server, std::uint64_t incarnation, TimePoint now);

    /*!
     * @brief Records that a member's host refused a connection because no process listens there.
     * Has no effect if the member is not monitored.
     */
    void recordConnectionRefused(const std::string &server);

    /*!
     * @brief Restarts the timeouts of all members after a pause of this process.
     * Heartbeats sent during the pause could not be received, so their absence proves nothing.
     */
    void restartTimeouts(TimePoint now);

    /*! @brief Stops monitoring a member that sends its heartbeats to other observers. */
    void stopMonitoring(const std::string &server);

    /*! @return Highest incarnation received from a member, or 0 if it is not monitored. */
    [[nodiscard]] std::uint64_t incarnationOf(const std::string &server) const;

    /*!
     * @return Members that are missing and not reported yet. A member is reported again only after
     * a new heartbeat and another failure.
     */
    [[nodiscard]] std::vector<MissingMember> poll(TimePoint now);

private:
    struct MonitoredMember
    {
        std::uint64_t incarnation = 0;
        TimePoint lastHeartbeat;
        bool connectionRefused = false;
        bool reported = false;
    };

    std::map<std::string, MonitoredMember> m_members;
};

} // namespace celeryramp
