#include "proxy/stop_notice.h"

#include <catch2/catch.hpp>

using namespace celeryramp::proxy;

namespace {

bool saysClosed(const Frame &frame)
{
    return std::holds_alternative<ClosedFrame>(frame);
}

} // namespace

TEST_CASE("Stop notice: peers learn that calls without a reply were not executed at the end only")
{
    StopNotice notice;
    REQUIRE(std::holds_alternative<LeavingFrame>(notice.frameFor("a")));
    notice.close();
    REQUIRE(saysClosed(notice.frameFor("a")));
}

TEST_CASE("Stop notice: a peer that misses a reply is never told that its calls were not executed")
{
    StopNotice notice;
    notice.onReplyNotSent("a");
    notice.close();
    notice.onReplyNotSent("c");
    REQUIRE_FALSE(saysClosed(notice.frameFor("a")));
    REQUIRE(saysClosed(notice.frameFor("b")));
    REQUIRE_FALSE(saysClosed(notice.frameFor("c")));
}
