#include "node/instance_list_history.h"

#include <catch2/catch.hpp>

using celeryramp::InstanceListHistory;
using celeryramp::ListChange;

TEST_CASE("Lists with rising indices follow one another")
{
    InstanceListHistory history;
    CHECK(history.knownIndex() == 0);
    CHECK(history.onList({3, {}}) == ListChange::Newer);
    CHECK(history.onList({4, {"s1"}}) == ListChange::Newer);
    CHECK(history.onList({4, {"s1"}}) == ListChange::None);
    CHECK(history.knownIndex() == 4);
}

TEST_CASE("One answer of a replica that lags behind does not start a new history")
{
    InstanceListHistory history;
    CHECK(history.onList({4, {"s1"}}) == ListChange::Newer);
    CHECK(history.onList({3, {}}) == ListChange::None);
    CHECK(history.knownIndex() == 4);
    CHECK(history.onList({4, {"s1"}}) == ListChange::None);
    CHECK(history.onList({3, {}}) == ListChange::None);
}

// Guards against a restored list that is waited past or ignored as older.
TEST_CASE("A lower index that is read twice starts a new history")
{
    InstanceListHistory history;
    CHECK(history.onList({9, {"s1"}}) == ListChange::Newer);
    CHECK(history.onList({5, {}}) == ListChange::None);
    CHECK(history.onList({6, {"s2"}}) == ListChange::Restored);
    CHECK(history.knownIndex() == 6);
    CHECK(history.onList({7, {}}) == ListChange::Newer);
}

// Guards against an index that is given out again while the platform could not be read.
TEST_CASE("After a failed read the same index with other content starts a new history")
{
    InstanceListHistory history;
    CHECK(history.onList({9, {"s1"}}) == ListChange::Newer);
    history.onFailure();
    CHECK(history.knownIndex() == 0);
    CHECK(history.onList({9, {"s2"}}) == ListChange::Restored);
    CHECK(history.knownIndex() == 9);
}
