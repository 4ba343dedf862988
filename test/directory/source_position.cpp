#include "directory/source_position.h"

#include <catch2/catch.hpp>

using celeryramp::directory::listPosition;
using celeryramp::directory::SourcePosition;

TEST_CASE("Source position: every state of an era comes after those of the eras before")
{
    CHECK(SourcePosition{1, 900} < SourcePosition{2, 3});
    CHECK(SourcePosition{2, 3} > SourcePosition{1, 900});
    CHECK(SourcePosition{2, 3} < SourcePosition{2, 4});
    CHECK(SourcePosition{2, 3} <= SourcePosition{2, 3});
    CHECK(SourcePosition{2, 3} >= SourcePosition{2, 3});
    CHECK(SourcePosition{1, 3} != SourcePosition{2, 3});
    CHECK_FALSE(SourcePosition{2, 3} < SourcePosition{1, 900});
    CHECK_FALSE(SourcePosition{2, 3} < SourcePosition{2, 3});
}

TEST_CASE("Source position: logs name the era where it is known")
{
    CHECK(SourcePosition{0, 7}.text() == "7");
    CHECK(SourcePosition{3, 7}.text() == "3/7");
}

TEST_CASE("Source position: a list has the era that the source names")
{
    CHECK(listPosition(5, 7, {4, 90}) == SourcePosition{5, 7});
    CHECK(listPosition(4, 7, {4, 90}) == SourcePosition{4, 7});
    CHECK(listPosition(0, 7, {4, 90}) == SourcePosition{0, 7});
}

TEST_CASE("Source position: a source without eras has come back from a copy if its revision falls")
{
    CHECK(listPosition(std::nullopt, 89, {0, 90}) == SourcePosition{1, 89});
    CHECK(listPosition(std::nullopt, 89, {4, 90}) == SourcePosition{5, 89});
    CHECK(listPosition(std::nullopt, 90, {4, 90}) == SourcePosition{4, 90});
    CHECK(listPosition(std::nullopt, 91, {0, 90}) == SourcePosition{0, 91});
    CHECK(listPosition(std::nullopt, 5, {}) == SourcePosition{0, 5});
}
