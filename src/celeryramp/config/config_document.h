#pragma once

#include <map>
#include <string>

#include "config/manifest.h"

namespace celeryramp {

/*! @brief A manifest and the text of its parts, not validated. */
struct ConfigDocument
{
    Manifest manifest;
    std::map<std::string, std::string> parts; /*!< Published bytes by part name. */

    /*! @return Stamp that orders this document among all configurations. */
    [[nodiscard]] ConfigStamp stamp() const { return {manifest.version, manifest.digest()}; }
};

} // namespace celeryramp
