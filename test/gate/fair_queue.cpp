#include <catch2/catch.hpp>

#include <map>

#include "gate/fair_queue.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

QueuedCall callOf(std::uint64_t id, const std::string &account, std::int64_t due)
{
    QueuedCall call;
    call.call.id = id;
    call.call.account = account;
    call.dueAt = at(due);
    call.deadline = at(due + 100);
    return call;
}

} // namespace

TEST_CASE("accounts are served round-robin even if one of them floods the queue")
{
    FairQueue queue{100};
    for (std::uint64_t i = 0; i < 50; ++i) {
        REQUIRE_FALSE(queue.push(callOf(i, "large", 10)));
    }
    REQUIRE_FALSE(queue.push(callOf(100, "small", 10)));
    REQUIRE_FALSE(queue.push(callOf(101, "small", 10)));
    std::map<std::string, int> first;
    for (int i = 0; i < 4; ++i) {
        ++first[queue.pop()->call.account];
    }
    REQUIRE(first["small"] == 2);
}

TEST_CASE("within an account the call with the earliest due time comes first")
{
    FairQueue queue{10};
    REQUIRE_FALSE(queue.push(callOf(1, "a", 300)));
    REQUIRE_FALSE(queue.push(callOf(2, "a", 100)));
    REQUIRE_FALSE(queue.push(callOf(3, "a", 200)));
    REQUIRE(queue.pop()->call.id == 2);
    REQUIRE(queue.pop()->call.id == 3);
    REQUIRE(queue.pop()->call.id == 1);
    REQUIRE_FALSE(queue.pop());
}

TEST_CASE("the account with the most calls loses its least urgent one when the queue is full")
{
    FairQueue queue{3};
    REQUIRE_FALSE(queue.push(callOf(1, "large", 100)));
    REQUIRE_FALSE(queue.push(callOf(2, "large", 300)));
    REQUIRE_FALSE(queue.push(callOf(3, "large", 200)));
    const auto evicted = queue.push(callOf(4, "small", 900));
    REQUIRE(evicted);
    REQUIRE(evicted->call.id == 2);
    REQUIRE(queue.size() == 3);
}

TEST_CASE("overdue calls are removed")
{
    FairQueue queue{10};
    REQUIRE_FALSE(queue.push(callOf(1, "a", 0)));
    REQUIRE_FALSE(queue.push(callOf(2, "b", 500)));
    const auto overdue = queue.removeOverdue(at(200));
    REQUIRE(overdue.size() == 1);
    REQUIRE(overdue.front().call.id == 1);
    REQUIRE(queue.pop()->call.id == 2);
    REQUIRE_FALSE(queue.pop());
}
