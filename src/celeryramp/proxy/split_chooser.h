#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "directory/route.h"

namespace celeryramp::proxy {

/*!
 * @brief Distributes the requests of a route over its services in proportion to their weights, by
 * smooth weighted round robin. An overloaded service keeps its share: excess requests are refused
 * rather than moved to another service.
 */
class SplitChooser
{
public:
    /*! @param seed Gives each node a different start of the round robin. */
    explicit SplitChooser(std::uint64_t seed) : m_seed{seed} { }

    /*! @return The service for the next request of the route. */
    [[nodiscard]] const std::string &choose(const directory::Route &route);

private:
    struct RoundRobinState
    {
        std::vector<int> weights;
        std::vector<long> credits;
    };

    std::uint64_t m_seed;
    std::map<std::string, RoundRobinState> m_states; /*!< By route name. */
};

} // namespace celeryramp::proxy
