#include "engine/peer_coordinator.h"

#include <catch2/catch.hpp>

#include "support/text_decoder.h"

using namespace celeryramp;
using namespace celeryramp::engine;
using directory::SourcePosition;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
const SourcePosition kCopy{2, 60};

class IgnoredLinks final : public links::LinkEvents
{
public:
    void onFrame(const Address & /*peer*/, std::string_view /*frame*/) override { }
    void onPeerHeard(const Address & /*peer*/) override { }
    void onLinkOpen(const Address & /*peer*/) override { }
    void onLinkLost(const Address & /*peer*/, links::LinkLoss /*loss*/) override { }
    void onLinkSilent(const Address & /*peer*/) override { }
    void onLinkReplaced(const Address & /*peer*/) override { }
    [[nodiscard]] bool isAwaiting(const Address & /*peer*/) const override { return false; }
};

/*! @brief A node that has read version 1 from a copy, among peers that never answer it. */
struct Fixture
{
    Fixture()
    {
        settings.zone = "north";
        settings.links = {"127.0.0.11", 17802};
        static_cast<void>(replica.applyList({{"configuration", "1", kCopy.revision, false, 2}},
                                            kCopy, kStart, Millis{0}, kStart));
    }

    [[nodiscard]] std::uint64_t requests()
    {
        return metrics.counter("state_frames_total{kind=\"sync-request\"}").value();
    }

    /*! @brief Nodes of the zone report the version that they have kept. */
    void reportAll(std::uint64_t version, TimePoint now)
    {
        for (int i = 0; i < kPeers; ++i) {
            proxy::UsageFrame frame;
            frame.position = kCopy;
            frame.version = version;
            coordinator.onUsage({"127.0.0." + std::to_string(12 + i), 17802}, frame, now);
        }
    }

    static constexpr int kPeers = 6;
    boost::asio::io_context context;
    EngineSettings settings;
    IgnoredLinks events;
    links::PeerLinks peers{context, {"127.0.0.11", 17802}, events};
    test::TextDecoder decoder;
    directory::Replica replica{decoder, Millis{1500}};
    proxy::FleetLimiter limiter;
    MetricsRegistry metrics;
    PeerCoordinator coordinator{settings, peers, replica, limiter, metrics, 7};
};

} // namespace

// Guards against a restarted node that serves an old configuration for good: reports that arrived
// between two requests used up all of its requests for the version.
TEST_CASE("Peer coordinator: a version is asked for again after a request without a reply")
{
    Fixture fixture;
    fixture.reportAll(5, kStart);
    REQUIRE(fixture.requests() == 1);
    fixture.reportAll(5, kStart + Millis{1500});
    REQUIRE(fixture.requests() == 2);
}

TEST_CASE("Peer coordinator: a version that cannot be had is not asked for without end")
{
    Fixture fixture;
    constexpr int kReports = 20;
    for (int i = 0; i < kReports; ++i) {
        fixture.reportAll(5, kStart + Millis{1500} * i);
    }
    REQUIRE(fixture.requests() == 5);
}
