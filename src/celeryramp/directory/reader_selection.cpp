#include "directory/reader_selection.h"

#include <algorithm>

namespace celeryramp::directory {

namespace internal {

/*! Pause after a response with changes: a third of the 2 s within which a configuration must be in
 *  force. Servers renew their entries continuously, so this pause determines the request rate at
 *  the platform. */
constexpr Millis kReadPause{700};
/*! Replica age above which the node of rank 1 reads, and the increment for each further rank. The
 *  replica of a node that receives updates from a reader is up to 1 s old. */
constexpr Millis kTakeOverAge{1300};
constexpr Millis kTakeOverAgeStep{200};
/*! Longest pause after the first failed read, and how often it doubles. */
constexpr Millis kInitialBackoff{100};
constexpr int kMaxDoublings = 3;
/*! Nodes of a zone that try a failing platform at the full rate. */
constexpr std::size_t kTryingNodes = 4;

} // namespace internal

std::optional<Millis> readPause(const ReaderPosition &position) noexcept
{
    const auto ranksAfterFirst = static_cast<Millis::rep>(position.rank) - 1;
    const bool isTakeOverDue
            = position.age > internal::kTakeOverAge + ranksAfterFirst * internal::kTakeOverAgeStep;
    if (position.rank == 0 || position.isBehind || isTakeOverDue
        || position.age > position.selfReadAge) {
        return internal::kReadPause;
    }
    return std::nullopt;
}

Millis readBackoff(int failures, std::size_t failingPeers) noexcept
{
    const auto own = internal::kInitialBackoff
            * (1 << std::clamp(failures - 1, 0, internal::kMaxDoublings));
    const auto nodes = std::max(failingPeers + 1, internal::kTryingNodes);
    return own * static_cast<Millis::rep>(nodes) / static_cast<Millis::rep>(internal::kTryingNodes);
}

} // namespace celeryramp::directory
