#pragma once

#include <ostream>

#include "lab/scenario.h"

namespace standin {

/*! @brief Prints tables by class and account, convergence, violations and the closing line. */
void printReport(std::ostream &out, const ScenarioReport &report, const RunHistory &history);

} // namespace standin
