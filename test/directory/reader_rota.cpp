#include "directory/reader_rota.h"

#include <catch2/catch.hpp>

using celeryramp::Millis;
using celeryramp::directory::readPause;

namespace {

/*! Within which a configuration must be in force everywhere, less the way of the news. */
constexpr Millis kBound{1900};
/*! Nodes look at their knowledge this often. */
constexpr Millis kLook{250};

} // namespace

TEST_CASE("One node of a zone reads, the others rely on it")
{
    CHECK(readPause({0, Millis{0}, false}));
    for (std::size_t place = 1; place < 30; ++place) {
        CHECK_FALSE(readPause({place, Millis{1000}, false}));
    }
}

TEST_CASE("A node without knowledge, or that lacks announced news, reads for itself")
{
    CHECK(readPause({20, Millis::max(), true}));
    CHECK(readPause({20, Millis{100}, true}));
}

TEST_CASE("Pattern: the reader falls silent, the second one too, the third is still in time")
{
    // The news came right after the last confirmation, which was 1 s old at the nodes.
    for (std::size_t place = 1; place <= 2; ++place) {
        bool hasRead = false;
        for (Millis age{0}; age + kLook <= kBound; age += Millis{10}) {
            hasRead = hasRead || readPause({place, age, false}).has_value();
        }
        CHECK(hasRead);
    }
    // Not all at once: the platform bears a whole fleet's calls only for moments.
    CHECK_FALSE(readPause({5, Millis{1500}, false}));
}

TEST_CASE("Knowledge that is too old for a whole zone is read by each node")
{
    CHECK(readPause({50, Millis{3001}, false}));
}
