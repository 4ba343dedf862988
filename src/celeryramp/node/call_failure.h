#pragma once

#include "wire/outcome.h"

namespace celeryramp {

/*! @brief Why a call ends without an answer from the backend server. */
struct CallFailure
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
};

} // namespace celeryramp
