#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "core/time.h"
#include "transport/peer_transport.h"

namespace celeryramp {

/*! @brief Which side made a connection. */
enum class LinkSide { Accepted, Opened };

/*! @brief A frame that waits for its connection. */
struct WaitingFrame
{
    std::string bytes;
    std::uint64_t token = 0; /*!< Reported when the frame was certainly not sent. */
};

/*! @brief One connection to a peer. Changed only by `LinkTable`, but for the time of last use. */
struct Link
{
    LinkId id = 0;
    LinkSide side = LinkSide::Accepted;
    std::weak_ptr<void> handle; /*!< The library's name of the connection. */
    std::string peer; /*!< Empty until the peer said hello, or known from who was called. */
    std::string zone;
    bool open = false;
    bool greeted = false; /*!< The peer said hello. */
    TimePoint lastUsed;
    std::deque<WaitingFrame> waiting;
};

using LinkPtr = std::shared_ptr<Link>;

} // namespace celeryramp
