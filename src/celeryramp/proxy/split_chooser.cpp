#include "proxy/split_chooser.h"

#include <algorithm>
#include <numeric>

#include "core/hash.h"

namespace celeryramp::proxy {

const std::string &SplitChooser::choose(const directory::Route &route)
{
    if (route.split.size() == 1) {
        return route.split.front().service;
    }
    std::vector<int> weights;
    for (const auto &part : route.split) {
        weights.push_back(part.weight);
    }
    const long total = std::accumulate(weights.begin(), weights.end(), 0L);
    auto &state = m_states[route.name];
    if (state.weights != weights) {
        state.weights = weights;
        state.credits.assign(weights.size(), 0);
        // Different initial credits keep the nodes from choosing the same service at the same time.
        const auto offset = static_cast<long>((stableHash(route.name) ^ m_seed)
                                              % static_cast<unsigned long>(total));
        state.credits.front() = offset;
        state.credits.back() -= offset;
    }
    for (std::size_t i = 0; i < weights.size(); ++i) {
        state.credits[i] += weights[i];
    }
    const auto best = std::max_element(state.credits.begin(), state.credits.end());
    *best -= total;
    return route.split[static_cast<std::size_t>(best - state.credits.begin())].service;
}

} // namespace celeryramp::proxy
