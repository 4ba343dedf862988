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

/*! Two documents with one number, the one with the lower digest first. */
std::pair<ConfigDocument, ConfigDocument> sameNumber(std::uint64_t version)
{
    auto a = sampleDocument(version, SampleShape{2, 2, 100.0, 50.0});
    auto b = sampleDocument(version, SampleShape{2, 2, 200.0, 50.0});
    return a.stamp() < b.stamp() ? std::pair{a, b} : std::pair{b, a};
}

} // namespace

// Guards against a platform that came back older and confirms what it no longer has.
TEST_CASE("a platform document below the one in force confirms nothing")
{
    NodeUnderTest node;
    node.accept(sampleDocument(6), 9000, at(0));
    CHECK_FALSE(node.distributor.onPlatformDocument(sampleDocument(5), at(0), kUsable, at(0),
                                                    node.out));
    CHECK(node.distributor.confirmedAgo(at(0)).count() == 9000);
}

TEST_CASE("the platform document in force confirms it")
{
    NodeUnderTest node;
    node.accept(sampleDocument(6), 9000, at(0));
    node.distributor.onPlatformDocument(sampleDocument(6), at(0), kUsable, at(0), node.out);
    CHECK(node.distributor.confirmedAgo(at(0)).count() == 0);
}

// Guards against a published version that is not taken without a word to the operator.
TEST_CASE("another content under the number in force is recorded as rejected once")
{
    const auto [lower, higher] = sameNumber(5);
    NodeUnderTest node;
    node.accept(higher, 9000, at(0));
    node.distributor.onPlatformManifest(lower.stamp(), at(1), at(1));
    node.distributor.onPlatformManifest(lower.stamp(), at(2), at(2));
    node.distributor.onPlatformManifest(sampleDocument(4).stamp(), at(3), at(3));
    const auto &rejections = node.distributor.acceptance().rejections();
    REQUIRE(rejections.size() == 1);
    CHECK(rejections.front().error.code == ConfigErrorCode::Conflict);
    CHECK(node.distributor.counters().rejected == 1);
    CHECK(node.distributor.confirmedAgo(at(3)).count() == 9003);
}

// Guards against keys that are believed too long because parts were read slowly.
TEST_CASE("a confirmation dates from the manifest and not from the last part")
{
    NodeUnderTest node;
    REQUIRE(node.distributor.onPlatformDocument(sampleDocument(5), at(0), kUsable, at(8000),
                                                node.out));
    CHECK(node.distributor.confirmedAgo(at(8000)).count() == 8000);
    node.distributor.onPlatformManifest(sampleDocument(5).stamp(), at(7000), at(8000));
    CHECK(node.distributor.confirmedAgo(at(8000)).count() == 1000);
    node.distributor.onPlatformManifest(sampleDocument(4).stamp(), at(8000), at(8000));
    CHECK(node.distributor.confirmedAgo(at(8000)).count() == 1000);
}

// Guards against an answer about one content that confirms another with the same number.
TEST_CASE("a peer that has other content under the same number confirms nothing")
{
    const auto [lower, higher] = sameNumber(5);
    NodeUnderTest node;
    node.accept(lower, 9000, at(0));
    node.distributor.pullFrom("s-z1-0", at(1), node.out);
    node.accept(higher, 9000, at(1));

    Distributor peer{"s-z1-0", "z1", 1};
    Outbox answers;
    peer.onPlatformDocument(lower, at(0), kUsable, at(0), answers);
    static_cast<void>(answers.takeAll());
    peer.onPull("s-z0-0", {5, lower.stamp().digest}, at(1), answers);
    for (const auto &[to, message] : answers.takeAll()) {
        if (const auto *document = std::get_if<DocumentMessage>(&message)) {
            node.distributor.onDocument("s-z1-0", *document, kUsable, at(2), node.out);
        } else if (const auto *announce = std::get_if<AnnounceMessage>(&message)) {
            node.distributor.onAnnounce("s-z1-0", *announce, kUsable, at(2), node.out);
        }
    }
    CHECK(node.distributor.confirmedAgo(at(2)).count() > 9000);
}

TEST_CASE("a peer with the same content confirms it in its answer to a pull")
{
    const auto document = sampleDocument(5);
    NodeUnderTest node;
    node.accept(document, 9000, at(0));
    Distributor peer{"s-z1-0", "z1", 1};
    Outbox answers;
    peer.onPlatformDocument(document, at(0), kUsable, at(0), answers);
    static_cast<void>(answers.takeAll());
    peer.onPull("s-z0-0", {5, document.stamp().digest}, at(0), answers);
    for (const auto &[to, message] : answers.takeAll()) {
        if (const auto *answer = std::get_if<DocumentMessage>(&message)) {
            node.distributor.onDocument("s-z1-0", *answer, kUsable, at(0), node.out);
        } else if (const auto *announce = std::get_if<AnnounceMessage>(&message)) {
            node.distributor.onAnnounce("s-z1-0", *announce, kUsable, at(0), node.out);
        }
    }
    CHECK(node.distributor.confirmedAgo(at(0)).count() == 0);
}
