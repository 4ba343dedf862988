#pragma once

namespace celeryramp::proxy {

/*! @brief How busy a gate is, as it says with each reply. */
struct GateLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
    int serviceMillis = 0; /*!< Smoothed time at the server. */
    int coldWaitMillis = -1; /*!< Until a cold server bears another request; -1 when warm. */
    int badPercent = 0; /*!< Smoothed share of what the server was handed that it failed. */
};

} // namespace celeryramp::proxy
