#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "config/acceptance.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;
using testsupport::sampleDocument;

namespace {

/*! The same version with other content: another rate. */
ConfigDocument variant(std::uint64_t version, int n)
{
    testsupport::SampleShape shape;
    shape.rate += n;
    return sampleDocument(version, shape);
}

} // namespace

TEST_CASE("versions only go up")
{
    Acceptance acceptance;
    REQUIRE(acceptance.offer(sampleDocument(2), at(0)));
    REQUIRE(acceptance.offer(sampleDocument(1), at(1)).error().code == ConfigErrorCode::Stale);
    REQUIRE(acceptance.offer(sampleDocument(2), at(2)).error().code == ConfigErrorCode::Stale);
    REQUIRE(acceptance.stamp().version == 2);
    REQUIRE(acceptance.rejections().empty());
    REQUIRE(acceptance.offer(sampleDocument(3), at(3)));
    REQUIRE(acceptance.stamp().version == 3);
}

TEST_CASE("a bad version changes nothing and is remembered with its reason")
{
    Acceptance acceptance;
    REQUIRE(acceptance.offer(sampleDocument(1), at(0)));
    const auto before = acceptance.inForce();
    auto bad = sampleDocument(2);
    bad.parts["keys"] += "x";
    REQUIRE_FALSE(acceptance.offer(bad, at(1)));
    REQUIRE(acceptance.inForce() == before);
    REQUIRE(acceptance.document().manifest.version == 1);
    REQUIRE(acceptance.rejections().size() == 1);
    REQUIRE(acceptance.rejections().front().error.part == "keys");
    REQUIRE(acceptance.wasRejected(bad.stamp()));
    REQUIRE(acceptance.offer(sampleDocument(3), at(2)));
}

TEST_CASE("the same version with other content ends the same on every node")
{
    const auto one = variant(5, 1);
    const auto two = variant(5, 2);
    Acceptance forwards;
    Acceptance backwards;
    static_cast<void>(forwards.offer(one, at(0)));
    static_cast<void>(forwards.offer(two, at(1)));
    static_cast<void>(backwards.offer(two, at(0)));
    static_cast<void>(backwards.offer(one, at(1)));
    REQUIRE(forwards.stamp() == backwards.stamp());
    REQUIRE(forwards.rejections().size() + backwards.rejections().size() == 1);
}

TEST_CASE("whatever is offered, the order never goes back and ends at the highest good version")
{
    REQUIRE(rc::check("random offers", [] {
        Acceptance acceptance;
        ConfigStamp highest;
        const auto offers = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(
                rc::gen::tuple(rc::gen::inRange(1, 6), rc::gen::inRange(0, 3),
                               rc::gen::arbitrary<bool>()));
        std::int64_t now = 0;
        for (const auto &[version, content, good] : offers) {
            auto document = variant(static_cast<std::uint64_t>(version), content);
            if (!good) {
                document.parts["zones"] += "!";
            }
            const auto stamp = document.stamp();
            const auto before = acceptance.stamp();
            static_cast<void>(acceptance.offer(document, at(++now)));
            RC_ASSERT(!(acceptance.stamp() < before));
            if (good && highest < stamp) {
                highest = stamp;
            }
            RC_ASSERT(acceptance.stamp() == highest);
            RC_ASSERT((acceptance.inForce() == nullptr) == (highest.version == 0));
        }
    }));
}
