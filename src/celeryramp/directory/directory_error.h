#pragma once

#include <string>

namespace celeryramp::directory {

/*! @brief Why a published item is rejected; the state in use stays unchanged. */
struct DirectoryError
{
    std::string place; /*!< Name of the invalid entity or field. */
    std::string reason;
};

} // namespace celeryramp::directory
