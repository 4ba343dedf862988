#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace celeryramp::directory {

/*! @brief Progress of a read of the source whose response is not complete yet. */
struct ReadProgress
{
    TimePoint requestedAt;
    TimePoint lastReceivedAt; /*!< Of the last bytes of the connection; may precede the request. */
    bool isWatch = false; /*!< Changes are read, each version of an item; otherwise a list. */
    std::optional<std::uint64_t> bytesToCome; /*!< Of the response, if the source announced it. */
    std::uint64_t listBytes = 0; /*!< Size of the last complete list. */
};

/*! @brief What to do about a read that takes long. */
enum class DelayedRead : std::uint8_t {
    Wait, /*!< It makes progress. */
    List, /*!< A list, which has each item once, is read sooner than what is to come. */
    GiveUp /*!< No bytes arrive, or they arrive for too long. */
};

/*! Time without a byte after which a response that has begun is given up. */
inline constexpr Millis kReadStallTimeout{600};
/*! Longest time for a response that makes progress. */
inline constexpr Millis kMaxReadTime{6000};

/*! @brief Decides on a read that is not complete when its time for the first bytes, or
 * `kReadStallTimeout` since the last decision, is over. */
[[nodiscard]] DelayedRead decideDelayedRead(const ReadProgress &progress, TimePoint now) noexcept;

} // namespace celeryramp::directory
