#pragma once

#include <string>

namespace celeryramp {

/*! @brief A named set of interchangeable backend servers. */
struct Service
{
    std::string name;
};

} // namespace celeryramp
