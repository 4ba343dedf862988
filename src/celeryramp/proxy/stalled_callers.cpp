#include "proxy/stalled_callers.h"

#include <algorithm>

namespace celeryramp::proxy {

std::vector<std::size_t> selectStalledCallers(const std::vector<UnreadResponses> &callers,
                                              std::size_t limit)
{
    std::size_t held = 0;
    std::vector<std::size_t> stalled;
    for (std::size_t i = 0; i < callers.size(); ++i) {
        held += callers[i].bytes;
        if (callers[i].stalledFor >= kStallBeforeReset) {
            stalled.push_back(i);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [&callers](std::size_t a, std::size_t b) {
        return callers[a].bytes > callers[b].bytes;
    });
    std::size_t n = 0;
    while (held > limit && n < stalled.size()) {
        held -= callers[stalled[n++]].bytes;
    }
    stalled.resize(n);
    return stalled;
}

} // namespace celeryramp::proxy
