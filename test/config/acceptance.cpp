#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "config/acceptance.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;
using testsupport::sampleDocument;

namespace {

/*! Returns a document of the given version whose account rate is higher by `n`. */
ConfigDocument variant(std::uint64_t version, int n)
{
    testsupport::SampleShape shape;
    shape.rate += n;
    return sampleDocument(version, shape);
}

} // namespace

TEST_CASE("the version in force only increases")
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

TEST_CASE("an invalid document changes nothing and its rejection is recorded with the reason")
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

TEST_CASE("two documents of the same version give the same result in either order")
{
    const auto one = variant(5, 1);
    const auto two = variant(5, 2);
    Acceptance firstThenSecond;
    Acceptance secondThenFirst;
    static_cast<void>(firstThenSecond.offer(one, at(0)));
    static_cast<void>(firstThenSecond.offer(two, at(1)));
    static_cast<void>(secondThenFirst.offer(two, at(0)));
    static_cast<void>(secondThenFirst.offer(one, at(1)));
    REQUIRE(firstThenSecond.stamp() == secondThenFirst.stamp());
    REQUIRE(firstThenSecond.rejections().size() + secondThenFirst.rejections().size() == 1);
}

TEST_CASE("for random offers the stamp never decreases and ends at the highest valid one")
{
    REQUIRE(rc::check("random offers", [] {
        Acceptance acceptance;
        ConfigStamp highest;
        const auto offers = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(
                rc::gen::tuple(rc::gen::inRange(1, 6), rc::gen::inRange(0, 3),
                               rc::gen::arbitrary<bool>()));
        std::int64_t now = 0;
        for (const auto &[version, content, valid] : offers) {
            auto document = variant(static_cast<std::uint64_t>(version), content);
            if (!valid) {
                document.parts["zones"] += "!";
            }
            const auto stamp = document.stamp();
            const auto before = acceptance.stamp();
            static_cast<void>(acceptance.offer(document, at(++now)));
            RC_ASSERT(!(acceptance.stamp() < before));
            if (valid && highest < stamp) {
                highest = stamp;
            }
            RC_ASSERT(acceptance.stamp() == highest);
            RC_ASSERT((acceptance.inForce() == nullptr) == (highest.version == 0));
        }
    }));
}
