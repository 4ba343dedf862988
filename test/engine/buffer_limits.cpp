#include "engine/buffer_limits.h"

#include <catch2/catch.hpp>

using namespace celeryramp::engine;

TEST_CASE("All purposes together stay within the memory however much request bodies hold")
{
    for (const std::size_t megabytes : {32, 48, 64, 88, 110, 160, 260, 512, 4096}) {
        const std::size_t memory = megabytes << 20U;
        const auto most = BufferLimits{memory}.bodies;
        REQUIRE(most >= memory / 4);
        for (int i = 0; i <= 10; ++i) {
            const auto held = most / 10 * static_cast<std::size_t>(i);
            CAPTURE(megabytes, held);
            const BufferLimits limits{memory, held};
            REQUIRE(limits.own + held + limits.links + limits.callers + limits.gate <= memory);
            REQUIRE(limits.links >= memory / 32);
        }
    }
}

TEST_CASE("Without request bodies each other purpose has its part")
{
    const BufferLimits limits{std::size_t{260} << 20U};
    REQUIRE(limits.links == (std::size_t{260} << 20U) / 8);
    REQUIRE(limits.callers == (std::size_t{260} << 20U) / 6);
    REQUIRE(limits.gate == (std::size_t{260} << 20U) / 6);
}
