#pragma once

#include <optional>

#include "core/time.h"

namespace celeryramp::proxy {

/*!
 * @brief Decides how long a connection to a server may have rested before a request is sent on it.
 *
 * A server can forget a connection that rests and tell so only by resetting the next request, of
 * which nobody then knows whether it ran. The policy learns the rest after which that happens from
 * requests that were lost without a byte of an answer. What was learnt fades, so that a server that
 * has recovered is not sent a new connection for each request forever.
 */
class IdleReuse
{
public:
    /*! @return Longest rest of a connection that may carry the request. */
    [[nodiscard]] Millis maxRest(bool isIdempotent, TimePoint now) const;

    /*! @brief Records a request that was lost before the first byte of an answer. @param rest Time
     * for which its connection had rested before. */
    void onLost(Millis rest, TimePoint now);

private:
    std::optional<Millis> m_learntRest;
    TimePoint m_learntAt;
};

} // namespace celeryramp::proxy
