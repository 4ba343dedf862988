#include "proxy/idle_reuse.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

} // namespace

TEST_CASE(
        "Pattern: a server forgets resting connections - requests avoid them after the first loss")
{
    IdleReuse reuse;
    REQUIRE(reuse.maxRest(false, kStart) == Millis{1000});
    REQUIRE(reuse.maxRest(true, kStart) == Millis::max());
    reuse.onLost(Millis{420}, kStart);
    REQUIRE(reuse.maxRest(false, kStart) == Millis{210});
    REQUIRE(reuse.maxRest(true, kStart) == Millis{210});
    reuse.onLost(Millis{180}, kStart + Millis{100});
    REQUIRE(reuse.maxRest(false, kStart + Millis{100}) == Millis{90});
    reuse.onLost(Millis{900}, kStart + Millis{200}); // a longer rest says nothing new
    REQUIRE(reuse.maxRest(false, kStart + Millis{200}) == Millis{90});
}

TEST_CASE("What was learnt about resting connections fades")
{
    IdleReuse reuse;
    reuse.onLost(Millis{100}, kStart);
    REQUIRE(reuse.maxRest(true, kStart + Millis{19'000}) == Millis{50});
    REQUIRE(reuse.maxRest(true, kStart + Millis{21'000}) == Millis::max());
    reuse.onLost(Millis{800}, kStart + Millis{30'000});
    REQUIRE(reuse.maxRest(false, kStart + Millis{30'000}) == Millis{400});
}

TEST_CASE("A loss on a connection in steady use is not put down to its rest")
{
    IdleReuse reuse;
    reuse.onLost(Millis{10}, kStart);
    REQUIRE(reuse.maxRest(false, kStart) == Millis{1000});
}
