#include "directory/reader_selection.h"

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

} // namespace celeryramp::directory
