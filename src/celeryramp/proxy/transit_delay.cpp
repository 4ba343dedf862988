#include "proxy/transit_delay.h"

#include <algorithm>
#include <utility>

namespace celeryramp::proxy {

namespace internal {

/*! A difference counts for one to two periods; clocks drift apart by under 1 ms in that time. */
constexpr Millis kPeriod{10'000};

} // namespace internal

Millis TransitDelay::onCall(const std::string &peer, std::int64_t sentAt, TimePoint now)
{
    const std::int64_t difference
            = std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count()
            - sentAt;
    const auto [it, isNew] = m_peers.try_emplace(peer, Peer{difference, difference, now});
    auto &known = it->second;
    if (!isNew && millisBetween(known.periodStartedAt, now) > internal::kPeriod) {
        known.previous = std::exchange(known.current, difference);
        known.periodStartedAt = now;
    }
    known.current = std::min(known.current, difference);
    const auto smallest = std::min(known.current, known.previous);
    return std::chrono::duration_cast<Millis>(std::chrono::nanoseconds{difference - smallest});
}

void TransitDelay::forget(const std::string &peer)
{
    m_peers.erase(peer);
}

} // namespace celeryramp::proxy
