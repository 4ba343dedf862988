#pragma once

#include <string>

namespace celeryramp::links {

/*! @brief Why a node cannot listen for links. */
struct LinkError
{
    std::string place; /*!< Address that cannot be listened on. */
    std::string reason;
};

} // namespace celeryramp::links
