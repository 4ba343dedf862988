#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace celeryramp::proxy {

/*!
 * @brief Estimates how long calls from other nodes waited on their way, on a busy link or at a busy
 * process, so that a late call is not given more time than its caller has left.
 *
 * The clocks of two nodes differ by an unknown offset. The smallest difference between sending and
 * receiving time seen recently is that offset plus the shortest way; what a call took beyond it is
 * its delay. Assumes that both clocks run at the same rate, as monotonic clocks do.
 */
class TransitDelay
{
public:
    /*!
     * @brief Records a call.
     * @param peer Sending node.
     * @param sentAt Nanoseconds on the clock of the sender.
     * @return Time for which it was under way beyond the shortest way, at least 0.
     */
    Millis onCall(const std::string &peer, std::int64_t sentAt, TimePoint now);

    /*! @brief Forgets a node whose link is lost; it may have another clock when it is back. */
    void forget(const std::string &peer);

private:
    struct Peer
    {
        std::int64_t current = 0; /*!< Smallest difference in this period, in nanoseconds. */
        std::int64_t previous = 0; /*!< Smallest difference in the period before. */
        TimePoint periodStartedAt;
    };

    std::map<std::string, Peer> m_peers;
};

} // namespace celeryramp::proxy
