#pragma once

#include <optional>

namespace celeryramp::proxy {

/*! @brief Load of a gate, sent with each of its replies. */
struct GateLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
    int serviceMillis = 0; /*!< Moving average of the service time. */
    int rateWaitMillis = -1; /*!< Time until a server that is cold or names a rate limit can take
                                another call; -1 for any other. */
    int failurePercent = 0; /*!< Moving average of the share of failed calls. */
    std::optional<double> rateLimit; /*!< Requests per second that the server names, or
                                        `kNoRateLimit`; empty if the gate has no answer of it. */
    bool isLeaving = false; /*!< The server has announced in an answer that it leaves. */
    int linkWaitMillis = 0; /*!< Time that a long answer waits for the link of the node. */
    bool isOverloaded = false; /*!< Calls that could meet their target do not all fit. */
    int coldMillis = 0; /*!< Time for which the server stays cold; 0 if it is warm. */
};

} // namespace celeryramp::proxy
