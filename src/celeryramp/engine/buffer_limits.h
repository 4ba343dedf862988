#pragma once

#include <cstddef>

namespace celeryramp::engine {

/*!
 * @brief Most bytes that a node holds for others, by purpose. They are parts of its memory limit,
 * since each peer, caller and server alone may stay within its own limits while all together do
 * not.
 */
struct BufferLimits
{
    /*! @param memoryBytes Memory limit of the process. What the limits leave is for the program,
     * the replica and copies that are being made. */
    explicit constexpr BufferLimits(std::size_t memoryBytes) noexcept
        : links{memoryBytes / 8}, callers{memoryBytes / 6}, bodies{memoryBytes > 2 * kOwnBytes
                                                                           ? memoryBytes - kOwnBytes
                                                                           : memoryBytes / 2},
          gate{memoryBytes / 6}
    { }

    /*! What the process needs for itself and for copies that are being made. */
    static constexpr std::size_t kOwnBytes = 28U << 20U;

    std::size_t links; /*!< Frames that are not sent yet, over all peers. */
    std::size_t callers; /*!< Responses that callers have not read, over all connections. */
    std::size_t bodies; /*!< Request bodies, less what the other purposes hold. */
    std::size_t gate; /*!< Answers of the backend server that are being received or sent on. */
};

} // namespace celeryramp::engine
