#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include "membership/rumour_store.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

TEST_CASE("the highest sequence wins and rumours expire")
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

TEST_CASE("stores with the same rumours in any order have equal digests")
{
    REQUIRE(rc::check("merging is commutative and idempotent", [] {
        auto rumours = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(1, 5)));
        RumourStore forward;
        RumourStore reversed;
        const auto apply = [](RumourStore &store, const auto &batch) {
            for (const auto &[kind, subject, sequence] : batch) {
                store.apply({static_cast<RumourKind>(kind), std::to_string(subject),
                             static_cast<std::uint64_t>(sequence), 1000},
                            at(0));
            }
        };
        apply(forward, rumours);
        std::reverse(rumours.begin(), rumours.end());
        apply(reversed, rumours);
        apply(reversed, rumours);
        RC_ASSERT(forward.digest() == reversed.digest());
        RC_ASSERT(forward.size() == reversed.size());
    }));
}
