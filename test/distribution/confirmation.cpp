#include <catch2/catch.hpp>

#include "config/delta.h"
#include "distribution/distributor.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;
using testsupport::sampleDocument;
using testsupport::SampleShape;

namespace {

const IsUsable kUsable = [](const std::string &) { return true; };

/*! A node whose peers are played by the test. */
struct NodeUnderTest
{
    Distributor distributor{"s-z0-0", "z0", 1};
    Outbox out;

    void accept(const ConfigDocument &document, std::uint32_t confirmedAgoMs, TimePoint now)
    {
        const auto version = document.manifest.version;
        REQUIRE(distributor.onDocument("s-z0-1",
                                       {version, false, confirmedAgoMs, {packDocument(document)}},
                                       kUsable, now, out));
    }
};

} // namespace

// Guards against a platform that came back older and confirms what it no longer has.
TEST_CASE("a platform document below the one in force confirms nothing")
{
    NodeUnderTest node;
    node.accept(sampleDocument(6), 9000, at(0));
    CHECK_FALSE(node.distributor.onPlatformDocument(sampleDocument(5), kUsable, at(0), node.out));
    CHECK(node.distributor.confirmedAgo(at(0)).count() == 9000);
}

TEST_CASE("the platform document in force confirms it")
{
    NodeUnderTest node;
    node.accept(sampleDocument(6), 9000, at(0));
    node.distributor.onPlatformDocument(sampleDocument(6), kUsable, at(0), node.out);
    CHECK(node.distributor.confirmedAgo(at(0)).count() == 0);
}
