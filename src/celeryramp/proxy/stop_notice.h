#pragma once

#include <set>
#include <string>

#include "proxy/frames.h"

namespace celeryramp::proxy {

/*!
 * @brief What a node that shuts down tells its peers.
 *
 * A peer takes a call without a reply for not executed once it has read a `ClosedFrame`. A peer
 * that misses a reply is therefore never sent one; it learns of the end by the loss of its link.
 */
class StopNotice
{
public:
    /*! @brief A reply to this peer could not be passed to a link. */
    void onReplyNotSent(const std::string &peer) { m_peersMissingReplies.insert(peer); }
    /*! @brief From now on no call is executed any more. */
    void close() noexcept { m_hasClosed = true; }
    [[nodiscard]] bool hasClosed() const noexcept { return m_hasClosed; }

    /*! @return The frame that tells a peer the present state. */
    [[nodiscard]] Frame frameFor(const std::string &peer) const
    {
        if (m_hasClosed && m_peersMissingReplies.count(peer) == 0) {
            return ClosedFrame{};
        }
        return LeavingFrame{};
    }

private:
    std::set<std::string> m_peersMissingReplies;
    bool m_hasClosed = false;
};

} // namespace celeryramp::proxy
