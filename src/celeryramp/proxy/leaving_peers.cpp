#include "proxy/leaving_peers.h"

namespace celeryramp::proxy {

namespace internal {

/*! Time for which a node that announced its shutdown is avoided; afterwards it has restarted or is
 *  gone. */
constexpr Millis kLeavingNodeTtl{8000};
/*! Time for which a server that announced that it leaves is avoided; it has ended by then. */
constexpr Millis kLeavingServerTtl{60'000};

template <typename Map>
void eraseOlder(Map &map, Millis ttl, TimePoint now)
{
    for (auto it = map.begin(); it != map.end();) {
        it = millisBetween(it->second, now) > ttl ? map.erase(it) : std::next(it);
    }
}

} // namespace internal

void LeavingPeers::forgetNode(const std::string &process)
{
    m_nodes.erase(process);
    m_closedNodes.erase(process);
}

void LeavingPeers::onServerLeaving(const std::string &id, std::uint64_t startedMillis,
                                   TimePoint now)
{
    m_servers[{id, startedMillis}] = now;
}

void LeavingPeers::sweep(TimePoint now)
{
    internal::eraseOlder(m_nodes, internal::kLeavingNodeTtl, now);
    internal::eraseOlder(m_servers, internal::kLeavingServerTtl, now);
}

} // namespace celeryramp::proxy
