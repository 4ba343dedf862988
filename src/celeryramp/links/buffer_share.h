#pragma once

#include <algorithm>
#include <cstddef>

namespace celeryramp::links {

/*! Limit of unsent bytes for one peer; further frames are refused. */
inline constexpr std::size_t kMaxBufferedBytes = 4 * 1024 * 1024;

/*!
 * @brief Decides whether a frame for a peer is taken or refused.
 *
 * A peer may have as many bytes as are left of the total limit. Peers that read little thus share
 * it evenly, and always leave as much for one that reads.
 * @param heldForPeer Unsent bytes for the peer. @param heldForAll The same for all peers.
 */
[[nodiscard]] constexpr bool hasRoomForFrame(std::size_t heldForPeer, std::size_t heldForAll,
                                             std::size_t totalLimit) noexcept
{
    const auto left = totalLimit - std::min(totalLimit, heldForAll);
    return heldForPeer <= std::min(kMaxBufferedBytes, left);
}

} // namespace celeryramp::links
