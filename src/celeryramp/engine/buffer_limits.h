#pragma once

#include <algorithm>
#include <cstddef>

namespace celeryramp::engine {

/*!
 * @brief Most bytes that a node holds for others, by purpose. They are parts of its memory limit,
 * since each peer, caller and server alone may stay within its own limits while all together do
 * not. Request bodies may take what the others leave, and these have less the more bodies hold.
 */
struct BufferLimits
{
    /*! @param memoryBytes Memory limit of the process.
     * @param bodyBytes Bytes that request bodies hold now, at most `bodies`. */
    explicit constexpr BufferLimits(std::size_t memoryBytes, std::size_t bodyBytes = 0) noexcept
        : own{std::min(kOwnBytes, memoryBytes / 2)}, bodies{memoryBytes - own
                                                            - kOtherPurposes
                                                                    * leastOf(memoryBytes)},
          links{part(memoryBytes, bodyBytes, 8)}, callers{part(memoryBytes, bodyBytes, 6)},
          gate{part(memoryBytes, bodyBytes, 6)}
    { }

    std::size_t own; /*!< For the program, the replica and copies that are being made. */
    std::size_t bodies; /*!< Request bodies, less what the other purposes hold. */
    std::size_t links; /*!< Frames that are not sent yet, over all peers. */
    std::size_t callers; /*!< Responses that callers have not read, over all connections. */
    std::size_t gate; /*!< Answers of the backend server that are being received or sent on. */

private:
    static constexpr std::size_t kOwnBytes = 22U << 20U;
    static constexpr std::size_t kOtherPurposes = 3;

    /*! @return What each other purpose has beside as many bodies as are allowed. */
    [[nodiscard]] static constexpr std::size_t leastOf(std::size_t memoryBytes) noexcept
    {
        return memoryBytes / 32;
    }

    [[nodiscard]] constexpr std::size_t part(std::size_t memoryBytes, std::size_t bodyBytes,
                                             std::size_t divisor) const noexcept
    {
        const auto rest = memoryBytes - own - std::min(bodyBytes, memoryBytes - own);
        return std::max(leastOf(memoryBytes),
                        std::min(memoryBytes / divisor, rest / kOtherPurposes));
    }
};

} // namespace celeryramp::engine
