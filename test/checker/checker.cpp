#include <catch2/catch.hpp>

#include "checker/checker.h"

using namespace standin;

namespace {

constexpr std::int64_t kSecond = 1'000'000;

SendRecord sendOf(const std::string &call, std::int64_t at, const std::string &outcome = "answered")
{
    SendRecord send;
    send.call = call;
    send.account = "acme";
    send.key = "k1";
    send.request = "r-" + call;
    send.sentAt = at;
    send.dueAt = at;
    send.endAt = at + 1000;
    send.outcome = outcome;
    send.status = 200;
    send.own = true;
    return send;
}

RunRecord runOf(const std::string &call, std::int64_t at, const std::string &event = "start")
{
    RunRecord run;
    run.at = at;
    run.event = event;
    run.server = "s1";
    run.zone = "a";
    run.call = call;
    run.request = "r-" + call;
    run.account = "acme";
    return run;
}

/*! A history without a fault: ten calls, one a second. */
RunHistory goodHistory()
{
    RunHistory history;
    history.limits["acme"] = {2.0, 2.0};
    history.runs.push_back(runOf("", 0, "up"));
    for (int i = 1; i <= 10; ++i) {
        const auto call = "c" + std::to_string(i);
        history.sends.push_back(sendOf(call, i * kSecond));
        history.runs.push_back(runOf(call, i * kSecond + 100));
    }
    return history;
}

std::vector<std::string> promises(const RunHistory &history)
{
    std::vector<std::string> names;
    for (const auto &violation : checkHistory(history)) {
        names.push_back(violation.promise);
    }
    return names;
}

} // namespace

TEST_CASE("a good history has no violations")
{
    REQUIRE(checkHistory(goodHistory()).empty());
}

TEST_CASE("each planted violation is found")
{
    auto history = goodHistory();
    std::string wanted;
    SECTION("a call ran twice")
    {
        history.sends[0].atMostOnce = true;
        auto again = runOf("c1", 2 * kSecond);
        again.request = "r-other";
        history.runs.push_back(again);
        wanted = "at-most-once";
    }
    SECTION("a call that was told not-run ran")
    {
        history.sends[3].outcome = "not-run";
        wanted = "not-run";
    }
    SECTION("an answer of another call")
    {
        history.sends[3].own = false;
        wanted = "own-answer";
    }
    SECTION("a key at a backend server")
    {
        history.runs[3].keySeen = true;
        wanted = "keys";
    }
    SECTION("a call that ran for another account")
    {
        history.runs[3].account = "other";
        wanted = "keys";
    }
    SECTION("a withdrawn key that still works")
    {
        history.keysWithdrawn.push_back({"k1", 6 * kSecond, 100 * kSecond});
        wanted = "withdrawn-key";
    }
    SECTION("work in a zone out of service")
    {
        history.zonesOut.push_back({"a", 6 * kSecond, 100 * kSecond});
        wanted = "zone-out";
    }
    SECTION("work at a server that left")
    {
        history.serversLeaving.push_back({"s1", 6 * kSecond, 100 * kSecond});
        wanted = "leaving-server";
    }
    SECTION("a new server with too much work")
    {
        history.runs.push_back(runOf("c1", kSecond, "shed"));
        wanted = "cold-server";
    }
    SECTION("an account above its rate and burst")
    {
        for (int i = 0; i < 5; ++i) {
            const auto call = "extra" + std::to_string(i);
            history.sends.push_back(sendOf(call, 5 * kSecond + i));
            history.runs.push_back(runOf(call, 5 * kSecond + i + 10));
        }
        wanted = "rate";
    }
    SECTION("a node that went back to an older version")
    {
        history.versions["s1"] = {1, 3, 2};
        wanted = "version-back";
    }
    SECTION("a send without an end")
    {
        history.sends[3].endAt = 0;
        wanted = "accounted";
    }
    const auto found = promises(history);
    REQUIRE_FALSE(found.empty());
    REQUIRE(found.front() == wanted);
}

TEST_CASE("what is published while nobody can read it counts from when it can be read")
{
    auto history = goodHistory();
    history.keysWithdrawn.push_back({"k1", 3 * kSecond, 100 * kSecond});
    history.blind.push_back({"platform", 2 * kSecond, 7'500'000});
    REQUIRE(checkHistory(history).empty());
    history.blind.front().until = 6 * kSecond;
    REQUIRE(promises(history).front() == "withdrawn-key");
    history.blind.front() = {"platform", 4 * kSecond, 7'500'000};
    REQUIRE(promises(history).front() == "withdrawn-key"); // it was readable when published
}

TEST_CASE("a server that turned cold without warning is not a new one")
{
    auto history = goodHistory();
    history.runs.push_back(runOf("", kSecond, "cold"));
    history.runs.push_back(runOf("c1", 2 * kSecond, "shed"));
    REQUIRE(checkHistory(history).empty());
    history.runs.push_back(runOf("", 2 * kSecond - 1, "up"));
    REQUIRE(promises(history).front() == "cold-server");
}

TEST_CASE("changes have three seconds to be in force")
{
    auto history = goodHistory();
    history.keysWithdrawn.push_back({"k1", 7'500'000, 100 * kSecond});
    history.zonesOut.push_back({"a", 7'500'000, 100 * kSecond});
    REQUIRE(checkHistory(history).empty());
}
