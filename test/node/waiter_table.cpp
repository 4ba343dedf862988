#include <catch2/catch.hpp>

#include <thread>

#include "node/waiter_table.h"

using namespace celeryramp;

TEST_CASE("a reply reaches the ticket with its ID")
{
    WaiterTable<int> table;
    auto one = table.open();
    auto two = table.open();
    std::thread replier{[&, id = two.id()] { table.complete(id, 7); }};
    REQUIRE(two.wait(Clock::now() + Millis{5000}) == 7);
    replier.join();
    REQUIRE_FALSE(one.wait(Clock::now()));
}

TEST_CASE("replies without a waiter are counted")
{
    WaiterTable<int> table;
    std::uint64_t id = 0;
    {
        const auto ticket = table.open();
        id = ticket.id();
    }
    REQUIRE_FALSE(table.complete(id, 1));
    REQUIRE(table.unclaimed() == 1);
}

TEST_CASE("a tagged reply reaches only the tickets with that tag")
{
    WaiterTable<int> table;
    auto one = table.open();
    auto two = table.open();
    one.tag(5);
    two.tag(6);
    table.completeTagged(5, -1);
    REQUIRE(one.wait(Clock::now()) == -1);
    REQUIRE_FALSE(two.wait(Clock::now()));
}

TEST_CASE("several replies to one ticket are kept in order")
{
    WaiterTable<int> table;
    auto ticket = table.open();
    table.complete(ticket.id(), 1);
    table.complete(ticket.id(), 2);
    REQUIRE(ticket.wait(Clock::now()) == 1);
    REQUIRE(ticket.wait(Clock::now()) == 2);
}
