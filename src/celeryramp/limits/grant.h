#pragma once

#include "core/time.h"
#include "limits/tokens.h"

namespace celeryramp {

/*! @brief Reply of a minter to a request for tokens. */
struct Grant
{
    MicroTokens granted = 0;
    MicroTokens left = 0; /*!< Level of the minter's bucket after the grant. */
    Millis lifetime{0}; /*!< Lifetime, starting when the requester sends its request. */
};

} // namespace celeryramp
