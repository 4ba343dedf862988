#include "proxy/idle_callers.h"

namespace celeryramp::proxy {

std::optional<std::size_t> selectReplacedCaller(gsl::span<const CallerState> callers) noexcept
{
    std::optional<std::size_t> chosen;
    auto longest = kIdleBeforeReplaced;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        if (callers[i].isUnserved && callers[i].unchangedFor >= longest) {
            longest = callers[i].unchangedFor;
            chosen = i;
        }
    }
    return chosen;
}

} // namespace celeryramp::proxy
