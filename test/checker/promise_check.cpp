#include "soak/promise_check.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "soak/fault_plan.h"

using namespace standin::soak;
using celeryramp::Millis;
using celeryramp::TimePoint;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

SentRequest request(const char *id, RouteKind kind, CallerEnd end, int status)
{
    SentRequest sent;
    sent.id = id;
    sent.kind = kind;
    sent.account = "free";
    sent.sentAt = kStart;
    sent.endedAt = kStart + Millis{300};
    sent.deadline = Millis{2000};
    sent.end = end;
    sent.status = status;
    sent.isSigned = status == 200;
    sent.isRightBody = status == 200;
    return sent;
}

Execution execution(const char *id, TimePoint at = kStart + Millis{10})
{
    return {id, "s1", "a", "free", at, at + Millis{20}, {}};
}

/*! @return The promises that the observations breaks, each once. */
std::vector<std::string> broken(const Observations &observations)
{
    std::vector<std::string> names;
    for (const auto &violation : checkPromises(observations, {})) {
        if (std::find(names.begin(), names.end(), violation.promise) == names.end()) {
            names.push_back(violation.promise);
        }
    }
    return names;
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("soak: a faultless run breaks no promise")
{
    Observations observations;
    observations.requests["r"] = request("r", RouteKind::Write, CallerEnd::Answered, 200);
    observations.requests["n"] = request("n", RouteKind::Write, CallerEnd::Answered, 503);
    observations.executions = {execution("r")};
    REQUIRE(broken(observations).empty());
}

TEST_CASE("soak: each broken promise is reported")
{
    Observations observations;
    SECTION("a second run of a request that must not be repeated")
    {
        observations.requests["r"] = request("r", RouteKind::Write, CallerEnd::Answered, 200);
        observations.executions = {execution("r"), execution("r")};
        REQUIRE(broken(observations) == Names{"at-most-once"});
    }
    SECTION("a refusal of what has run")
    {
        observations.requests["r"] = request("r", RouteKind::Write, CallerEnd::Answered, 503);
        observations.executions = {execution("r")};
        REQUIRE(broken(observations) == Names{"true-refusal"});
    }
    SECTION("a success with another body")
    {
        observations.requests["r"] = request("r", RouteKind::Read, CallerEnd::Answered, 200);
        observations.requests["r"].isRightBody = false;
        REQUIRE(broken(observations) == Names{"right-answer"});
    }
    SECTION("a run with a key that was withdrawn long before")
    {
        auto sent = request("r", RouteKind::Read, CallerEnd::Answered, 200);
        sent.isRevoked = true;
        sent.keyWithdrawnAt = kStart - Millis{5100};
        observations.requests["r"] = sent;
        observations.executions = {execution("r")};
        REQUIRE(broken(observations) == Names{"revocation"});
    }
    SECTION("more runs than the attempts of the route")
    {
        observations.requests["r"] = request("r", RouteKind::Read, CallerEnd::Answered, 200);
        observations.executions = {execution("r"), execution("r"), execution("r")};
        REQUIRE(broken(observations) == Names{"attempts"});
    }
    SECTION("a run at a server that has left and in an evacuated zone")
    {
        observations.requests["r"] = request("r", RouteKind::Read, CallerEnd::Answered, 200);
        observations.executions = {execution("r")};
        observations.gone = {{"s1", kStart - Millis{2100}, TimePoint::max()}};
        observations.evacuated = {{"a", kStart - Millis{5100}, TimePoint::max()}};
        REQUIRE(broken(observations) == Names{"draining", "evacuation"});
    }
    SECTION("more runs than the rate of the account")
    {
        for (int i = 0; i < 60; ++i) {
            observations.executions.push_back(execution("x", kStart + Millis{i}));
        }
        observations.rates["free"] = {5.0, 5.0}; // 57 in a window of 5 s
        REQUIRE(broken(observations) == Names{"rate"});
    }
    SECTION("a connection that ends without an answer")
    {
        observations.requests["r"] = request("r", RouteKind::Read, CallerEnd::Closed, 0);
        REQUIRE(broken(observations) == Names{"planned-stop"});
    }
    SECTION("a run that starts after its caller has left")
    {
        observations.requests["r"] = request("r", RouteKind::Read, CallerEnd::Left, 0);
        observations.executions = {execution("r", kStart + Millis{900})};
        REQUIRE(broken(observations) == Names{"cancellation"});
    }
}

TEST_CASE("soak: disturbances suspend the promises that need a calm system and no others")
{
    Observations observations;
    observations.requests["cut"] = request("cut", RouteKind::Read, CallerEnd::Closed, 0);
    observations.requests["twice"] = request("twice", RouteKind::Write, CallerEnd::Answered, 200);
    observations.executions = {execution("twice"), execution("twice")};
    observations.disturbances = {{"node-1", kStart - Millis{2000}, kStart - Millis{1000}}};
    REQUIRE(broken(observations) == Names{"at-most-once"});
}

TEST_CASE("soak: the same seed gives the same faults")
{
    const auto describe = [](std::uint64_t seed) {
        std::string text;
        for (const auto &fault : drawFaults(seed, 9, 3, Millis{18'000})) {
            text += std::string{faultName(fault.kind)} + " " + std::to_string(fault.at.count())
                    + " " + std::to_string(fault.duration.count()) + " "
                    + std::to_string(fault.target) + "\n";
        }
        return text;
    };
    REQUIRE(describe(5) == describe(5));
    REQUIRE(describe(5) != describe(6));
    REQUIRE(drawFaults(5, 9, 3, Millis{18'000}).size() >= 10);
    REQUIRE(describe(kLaterSeeds - 1).find("zone-silence") == std::string::npos);
    REQUIRE(describe(kLaterSeeds).find("zone-silence") != std::string::npos);
    REQUIRE(describe(kLaterSeeds).find("late-frames") != std::string::npos);
    REQUIRE(describe(kRestoredStoreSeeds - 1).find("store-restored") == std::string::npos);
    REQUIRE(describe(kRestoredStoreSeeds).find("store-restored") != std::string::npos);
}

TEST_CASE("soak: copies that the store comes back from are of different times and some seconds old")
{
    for (auto seed = kRestoredStoreSeeds; seed < kRestoredStoreSeeds + 50; ++seed) {
        Millis former{0};
        for (const auto &fault : drawFaults(seed, 9, 3, Millis{18'000})) {
            if (restoresStore(fault.kind)) {
                REQUIRE(fault.copyAge >= Millis{1000});
                REQUIRE(fault.copyAge <= Millis{6000});
                REQUIRE(fault.at - fault.copyAge >= former);
                former = endOf(fault);
            }
        }
        REQUIRE(former > Millis{0});
    }
}
