#include "proxy/split_chooser.h"

#include <cstdlib>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace celeryramp;
using namespace celeryramp::proxy;

TEST_CASE("Each service gets its share to within two requests at any time")
{
    rc::prop("share", [](std::uint64_t seed) {
        const auto a = *rc::gen::inRange(1, 100);
        const auto b = *rc::gen::inRange(1, 100);
        directory::Route route;
        route.name = "r";
        route.split = {{"a", a}, {"b", b}};
        SplitChooser splits{seed};
        std::map<std::string, int> counts;
        for (int i = 1; i <= 400; ++i) {
            ++counts[splits.choose(route)];
            const double due = static_cast<double>(i) * a / (a + b);
            RC_ASSERT(std::abs(counts["a"] - due) < 2.0);
        }
    });
}

TEST_CASE("A service without weight gets no requests and new weights apply at once")
{
    directory::Route route;
    route.name = "r";
    route.split = {{"a", 1}, {"b", 0}};
    SplitChooser splits{7};
    for (int i = 0; i < 50; ++i) {
        REQUIRE(splits.choose(route) == "a");
    }
    route.split = {{"a", 0}, {"b", 1}};
    for (int i = 0; i < 50; ++i) {
        REQUIRE(splits.choose(route) == "b");
    }
}
