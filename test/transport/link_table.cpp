#include <catch2/catch.hpp>

#include "support/sample_config.h"
#include "transport/link_table.h"

using namespace celeryramp;
using testsupport::at;

TEST_CASE("frames wait for their connection, in order and bounded")
{
    LinkTable table{0};
    const auto link = table.open("peer", "a", at(0));
    std::string one = "one";
    std::string two = "two";
    REQUIRE(table.waitUnlessOpen(link, one, 1) == WaitResult::Waits);
    REQUIRE(table.waitUnlessOpen(link, two, 2) == WaitResult::Waits);
    std::string sent;
    table.openAndFlush(link, [&](const std::string &bytes) { sent += bytes; });
    REQUIRE(sent == "onetwo");
    std::string three = "three";
    REQUIRE(table.waitUnlessOpen(link, three, 3) == WaitResult::NotNeeded);
    REQUIRE(three == "three");
    const auto other = table.open("other", "a", at(0));
    int taken = 0;
    std::string bytes = "x";
    while (table.waitUnlessOpen(other, bytes, 0) == WaitResult::Waits) {
        bytes = "x";
        ++taken;
    }
    REQUIRE(taken == 1024);
    REQUIRE(table.end(other).size() == 1024);
}

TEST_CASE("an ended link takes no more frames")
{
    LinkTable table{0};
    const auto link = table.open("peer", "a", at(0));
    static_cast<void>(table.end(link));
    std::string bytes = "x";
    REQUIRE(table.waitUnlessOpen(link, bytes, 0) == WaitResult::Full);
    REQUIRE(table.usable("peer", at(0)) == nullptr);
    REQUIRE(table.size() == 0);
}

TEST_CASE("another open link of a peer takes the place of one that ended")
{
    LinkTable table{0};
    const auto first = table.open("peer", "a", at(0));
    const auto handle = std::make_shared<int>(1);
    const auto second = table.adopt(handle, at(0));
    table.greet(second, "peer", "a");
    table.openAndFlush(second, [](const std::string &) {});
    REQUIRE(table.usable("peer", at(0)) == first);
    static_cast<void>(table.end(first));
    REQUIRE(table.usable("peer", at(0)) == second);
    REQUIRE(table.find(handle) == second);
    REQUIRE(table.findOpen(second->id, at(0)) == second);
}

TEST_CASE("a link that its maker will soon close is not used, and the maker closes it when idle")
{
    LinkTable table{0};
    const auto handle = std::make_shared<int>(1);
    const auto accepted = table.adopt(handle, at(0));
    table.greet(accepted, "peer", "a");
    REQUIRE(table.usable("peer", at(49'000)) == accepted);
    REQUIRE(table.usable("peer", at(49'000 + 50'000)) == nullptr);
    const auto opened = table.open("other", "a", at(0));
    REQUIRE(table.idle(Millis{60'000}, at(59'999)).empty());
    REQUIRE(table.idle(Millis{60'000}, at(60'000)).size() == 1);
    table.touch(opened, at(60'000));
    REQUIRE(table.idle(Millis{60'000}, at(60'001)).empty());
}
