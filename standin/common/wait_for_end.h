#pragma once

namespace standin {

/*! @brief Blocks the ending signals for all threads started later. */
void blockEndingSignals();

/*! @brief Waits for SIGTERM or SIGINT. */
void waitForEnd();

} // namespace standin
