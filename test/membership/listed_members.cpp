#include "membership/listed_members.h"

#include <catch2/catch.hpp>

#include "membership/membership_view.h"
#include "support/sample_config.h"

namespace {

using celeryramp::ListedMembers;
using celeryramp::MembershipView;
using celeryramp::Millis;
using celeryramp::RumourStore;
using testsupport::at;

/*! Readers of one platform that share all rumours. */
struct Readers
{
    RumourStore store;
    MembershipView view{store};
    ListedMembers first{Millis{600'000}};
    ListedMembers second{Millis{600'000}};

    void read(ListedMembers &reader, std::uint64_t index, const std::set<std::string> &leaving,
              bool restored = false)
    {
        for (const auto &rumour : reader.onList(index, leaving, restored, {"s1", "s2"}, store)) {
            store.apply(rumour, at(0));
        }
    }
};

} // namespace

TEST_CASE("A listed server leaves and returns with later lists")
{
    Readers readers;
    readers.read(readers.first, 4, {"s1"});
    CHECK(readers.view.isLeaving("s1"));
    readers.read(readers.second, 3, {});
    CHECK(readers.view.isLeaving("s1"));
    readers.read(readers.second, 5, {});
    CHECK_FALSE(readers.view.isLeaving("s1"));
}

// Guards against a server that is listed as leaving after the platform restored its list, and gets
// new work until the index passes the one before.
TEST_CASE("A restored list counts although its index is lower")
{
    Readers readers;
    readers.read(readers.first, 7, {"s1"});
    readers.read(readers.first, 8, {});
    readers.read(readers.first, 2, {}, true);
    readers.read(readers.first, 3, {"s1"});
    CHECK(readers.view.isLeaving("s1"));
    readers.read(readers.second, 2, {}, true);
    readers.read(readers.second, 3, {"s1"});
    CHECK(readers.view.isLeaving("s1"));
    readers.read(readers.second, 4, {});
    CHECK_FALSE(readers.view.isLeaving("s1"));
}

TEST_CASE("A server that the restored list has forgotten stays leaving until the next list")
{
    Readers readers;
    readers.read(readers.first, 7, {"s1", "s2"});
    readers.read(readers.first, 5, {"s2"}, true);
    CHECK(readers.view.isLeaving("s1"));
    readers.read(readers.first, 6, {"s2"});
    CHECK_FALSE(readers.view.isLeaving("s1"));
    CHECK(readers.view.isLeaving("s2"));
}
