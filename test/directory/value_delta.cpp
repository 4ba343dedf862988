#include "directory/value_delta.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace celeryramp::directory;

namespace {

std::string routes(int count, int changed)
{
    std::string text = R"({"Version":)" + std::to_string(1000 + changed) + R"(,"Routes":[)";
    for (int i = 0; i < count; ++i) {
        text += R"({"Name":"route-)" + std::to_string(i) + R"(","Timeout":")"
                + (i == changed ? "900" : "1200") + R"(ms","Split":[{"Service":"a"}]},)";
    }
    return text + R"(],"Base":)" + std::to_string(999 + changed) + "}";
}

} // namespace

TEST_CASE("Pattern: the delta of a version that changes one of many routes is small")
{
    const auto older = routes(1000, 3);
    const auto newer = routes(1000, 700);
    const auto delta = makeDelta(older, newer);
    REQUIRE(delta.size() < newer.size() / 50);
    REQUIRE(applyDelta(older, delta) == newer);
}

TEST_CASE("A delta restores exactly the newer value or is rejected")
{
    rc::prop("round trip", [](const std::string &older, const std::string &newer) {
        RC_ASSERT(applyDelta(older, makeDelta(older, newer)) == newer);
    });
    rc::prop("braces", [] {
        const auto gen = rc::gen::container<std::string>(rc::gen::elementOf(std::string{"{a}b"}));
        const auto older = *gen;
        const auto newer = *gen;
        const auto other = *gen;
        const auto delta = makeDelta(older, newer);
        RC_ASSERT(applyDelta(older, delta) == newer);
        const auto wrong = applyDelta(other, delta);
        RC_ASSERT(!wrong || *wrong == newer);
    });
    rc::prop("damaged", [](const std::string &older, const std::string &bytes) {
        static_cast<void>(applyDelta(older, bytes));
    });
}
