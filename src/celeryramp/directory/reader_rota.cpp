#include "directory/reader_rota.h"

namespace celeryramp::directory {

namespace internal {

/*! Pause after changes: a third of the 2 s within which a configuration must be in force. Servers
 *  renew their entries all the time, so that this decides how often the platform is called. */
constexpr Millis kReadPause{700};
/*! Age of its knowledge from which the second node of a zone reads, and what each further one waits
 *  longer. The knowledge of nodes that hear a reader is up to 1 s old. */
constexpr Millis kTakeOver{1300};
constexpr Millis kTakeOverStep{200};
/*! Age from which every node reads for itself. */
constexpr Millis kReadAfter{3000};

} // namespace internal

std::optional<Millis> readPause(const ReaderPosition &position) noexcept
{
    const auto steps = static_cast<Millis::rep>(position.place) - 1;
    const bool isNext = position.age > internal::kTakeOver + steps * internal::kTakeOverStep;
    if (position.place == 0 || position.isBehind || isNext || position.age > internal::kReadAfter) {
        return internal::kReadPause;
    }
    return std::nullopt;
}

} // namespace celeryramp::directory
