#pragma once

#include <string>

namespace celeryramp {

/*! @brief A published API key. The configuration holds a salted hash, never the secret itself. */
struct ApiKey
{
    std::string id; /*!< Public part of the key, before the dot. */
    std::string account;
    std::string salt; /*!< Hexadecimal text prepended to the secret. */
    std::string hash; /*!< SHA-256 of the salt followed by the secret, 64 hexadecimal digits. */
};

} // namespace celeryramp
