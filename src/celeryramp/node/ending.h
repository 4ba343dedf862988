#pragma once

#include "wire/outcome.h"

namespace celeryramp {

/*! @brief Why a call's road ends before an answer of the backend server. */
struct Ending
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
};

} // namespace celeryramp
