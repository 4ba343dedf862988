#pragma once

#include <cstdint>

#include "directory/client_account.h"

namespace celeryramp::directory {

/*! @brief Whether a request may run with the API key that it carries, if any. */
enum class KeyVerdict : std::uint8_t {
    Accepted, /*!< The key is valid, or the request needs none. */
    Undecided, /*!< The accounts, or the limits of this one, could not be read. */
    Rejected
};

/*! @brief Result of `RoutingTable::checkKey`. */
struct KeyCheck
{
    KeyVerdict verdict = KeyVerdict::Rejected;
    const ClientAccount *account = nullptr; /*!< Of the key; null if no account has it. */
    bool isRequired = true; /*!< The request needs a valid key. */
};

} // namespace celeryramp::directory
