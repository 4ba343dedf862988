#pragma once

#include <string>
#include <vector>

namespace celeryramp::test {

/*! @brief What a version of the configuration has besides one route for which a key is needed. */
struct SiteVersion
{
    int number = 0;
    std::vector<std::string> routes; /*!< Prefixes; all are open to anonymous callers. */
    std::vector<std::string> keys;
};

} // namespace celeryramp::test
