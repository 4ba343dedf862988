#pragma once

#include "core/time.h"
#include "limits/tokens.h"

namespace celeryramp {

/*! @brief What a minter gave. */
struct Grant
{
    MicroTokens granted = 0;
    MicroTokens left = 0; /*!< Level of the minter's bucket afterwards. */
    Millis life{0}; /*!< Life of the grant, counted by the asker from before it asked. */
};

} // namespace celeryramp
