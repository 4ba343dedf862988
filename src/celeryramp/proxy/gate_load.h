#pragma once

namespace celeryramp::proxy {

/*! @brief Load of a gate, sent with each of its replies. */
struct GateLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
    int serviceMillis = 0; /*!< Moving average of the service time. */
    int coldWaitMillis = -1; /*!< Time until a cold server can take another call; -1 if warm. */
    int failurePercent = 0; /*!< Moving average of the share of failed calls. */
};

} // namespace celeryramp::proxy
