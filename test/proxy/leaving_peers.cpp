#include "proxy/leaving_peers.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

directory::BackendServer server(std::uint64_t startedMillis)
{
    directory::BackendServer it;
    it.id = "s1";
    it.startedMillis = startedMillis;
    return it;
}

} // namespace

TEST_CASE("A node that leaves is avoided until it has restarted or a link to it changes")
{
    LeavingPeers peers;
    peers.onNodeLeaving("a", kStart);
    peers.onNodeClosed("b");
    peers.sweep(kStart + Millis{8000});
    REQUIRE(peers.isLeaving("a"));
    REQUIRE_FALSE(peers.isLeaving("b"));
    REQUIRE(peers.isClosed("b"));
    peers.forgetNode("b");
    REQUIRE_FALSE(peers.isClosed("b"));
    peers.sweep(kStart + Millis{8001});
    REQUIRE_FALSE(peers.isLeaving("a"));
}

TEST_CASE("A server that leaves is avoided in this incarnation only")
{
    LeavingPeers peers;
    peers.onServerLeaving("s1", 7, kStart);
    REQUIRE(peers.isLeaving(server(7)));
    REQUIRE_FALSE(peers.isLeaving(server(8)));
    peers.sweep(kStart + Millis{60'001});
    REQUIRE_FALSE(peers.isLeaving(server(7)));
}
