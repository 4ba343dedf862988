#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include "membership/rumour_store.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

TEST_CASE("the highest sequence wins and facts end")
{
    RumourStore store;
    REQUIRE(store.apply({RumourKind::Alive, "s", 2, 1000}, at(0)));
    REQUIRE_FALSE(store.apply({RumourKind::Alive, "s", 1, 1000}, at(0)));
    REQUIRE_FALSE(store.apply({RumourKind::Alive, "s", 2, 1000}, at(0)));
    REQUIRE(store.sequence(RumourKind::Alive, "s") == 2);
    store.expire(at(1001));
    REQUIRE_FALSE(store.sequence(RumourKind::Alive, "s"));
    REQUIRE(store.digest() == RumourStore{}.digest());
}

TEST_CASE("stores that got the same facts in any order agree")
{
    REQUIRE(rc::check("merge commutes", [] {
        auto facts = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(1, 5)));
        RumourStore one;
        RumourStore two;
        const auto apply = [](RumourStore &store, const auto &facts2) {
            for (const auto &[kind, subject, sequence] : facts2) {
                store.apply({static_cast<RumourKind>(kind), std::to_string(subject),
                             static_cast<std::uint64_t>(sequence), 1000},
                            at(0));
            }
        };
        apply(one, facts);
        std::reverse(facts.begin(), facts.end());
        apply(two, facts);
        apply(two, facts);
        RC_ASSERT(one.digest() == two.digest());
        RC_ASSERT(one.size() == two.size());
    }));
}
