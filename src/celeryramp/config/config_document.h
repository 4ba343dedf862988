#pragma once

#include <map>
#include <string>

#include "config/manifest.h"

namespace celeryramp {

/*! @brief A manifest with the text of all its parts, not yet validated. */
struct ConfigDocument
{
    Manifest manifest;
    std::map<std::string, std::string> parts; /*!< Part name to published bytes. */

    /*! @return Position of this document in the order of configurations. */
    [[nodiscard]] ConfigStamp stamp() const { return {manifest.version, manifest.digest()}; }
};

} // namespace celeryramp
