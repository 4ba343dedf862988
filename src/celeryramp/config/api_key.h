#pragma once

#include <string>

namespace celeryramp {

/*! @brief A published key: only a salted hash of its secret is known. */
struct ApiKey
{
    std::string id; /*!< Part of the key before the dot; public. */
    std::string account;
    std::string salt; /*!< Hexadecimal text prepended to the secret. */
    std::string hash; /*!< SHA-256 of salt and secret, hexadecimal. */
};

} // namespace celeryramp
