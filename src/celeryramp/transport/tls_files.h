#pragma once

#include <string>

namespace celeryramp {

/*! @brief Paths of the PEM files that a node shows and trusts. */
struct TlsFiles
{
    std::string authority; /*!< Certificate that signed those of all nodes. */
    std::string certificate; /*!< This node's certificate. */
    std::string privateKey; /*!< This node's private key. */
};

} // namespace celeryramp
