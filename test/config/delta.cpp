#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "config/delta.h"
#include "support/sample_config.h"

using namespace celeryramp;

TEST_CASE("a delta rebuilds the target and is smaller than the complete document")
{
    testsupport::SampleShape large{3, 40, 100.0, 50.0};
    const auto base = testsupport::sampleDocument(1, large);
    large.rate = 101.0;
    const auto target = testsupport::sampleDocument(2, large);
    const auto delta = makeDelta(base, target);
    REQUIRE(delta.size() < packDocument(target).size() / 10);
    const auto rebuilt = applyDelta(base, delta);
    REQUIRE(rebuilt);
    REQUIRE(rebuilt->parts == target.parts);
    REQUIRE(rebuilt->stamp() == target.stamp());
}

TEST_CASE("a delta for another base is rejected")
{
    const auto base = testsupport::sampleDocument(1, {3, 2, 100.0, 50.0});
    const auto other = testsupport::sampleDocument(1, {2, 2, 100.0, 50.0});
    const auto target = testsupport::sampleDocument(2, {3, 3, 100.0, 50.0});
    REQUIRE_FALSE(applyDelta(other, makeDelta(base, target)));
}

TEST_CASE("a part that is not canonical JSON is sent in full")
{
    const auto base = testsupport::sampleDocument(1);
    auto parts = testsupport::sampleParts();
    parts["zones"] = "  " + parts["zones"];
    const auto target = makeDocument(2, parts);
    const auto rebuilt = applyDelta(base, makeDelta(base, target));
    REQUIRE(rebuilt);
    REQUIRE(rebuilt->parts == target.parts);
}

TEST_CASE("no bytes break unpackDocument or applyDelta")
{
    REQUIRE(rc::check("random bytes", [](const std::string &bytes) {
        const auto base = testsupport::sampleDocument(1);
        RC_ASSERT(!unpackDocument(bytes));
        RC_ASSERT(!applyDelta(base, bytes));
    }));
    REQUIRE(rc::check("mutated deltas", [] {
        const auto base = testsupport::sampleDocument(1);
        const auto target = testsupport::sampleDocument(2, {3, 2, 55.0, 50.0});
        auto delta = makeDelta(base, target);
        delta[*rc::gen::inRange<std::size_t>(0, delta.size())] = *rc::gen::arbitrary<char>();
        const auto rebuilt = applyDelta(base, delta);
        if (rebuilt) {
            for (const auto &[name, hash] : rebuilt->manifest.parts) {
                RC_ASSERT(makeDocument(1, rebuilt->parts).manifest.parts[name] == hash);
            }
        }
    }));
}
