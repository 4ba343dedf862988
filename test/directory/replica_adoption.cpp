#include <catch2/catch.hpp>

#include "directory/replica.h"
#include "support/text_decoder.h"

using namespace celeryramp;
using namespace celeryramp::directory;

namespace {

constexpr Millis kGracePeriod{1500};
const TimePoint kStart{std::chrono::hours{1}};

ItemChange version(int number, const SourcePosition &position)
{
    return {"configuration", std::to_string(number), position.revision, false, position.era};
}

} // namespace

// Guards against an old configuration that stays in force: of two versions that the source has
// lost, this node held the first, and a peer whose state is behind brings the second.
TEST_CASE("Replica: a later version that the source has lost replaces an earlier one of its era")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    const SourcePosition first{1, 100};
    const SourcePosition second{1, 110};
    const SourcePosition restored{2, 60};
    const SourcePosition behind{2, 59};
    static_cast<void>(replica.applyList({version(25, first)}, first, kStart, Millis{0}, kStart));
    static_cast<void>(
            replica.applyList({version(20, {2, 50})}, restored, kStart, Millis{0}, kStart));
    REQUIRE(replica.view()->routing->version() == 25);
    static_cast<void>(replica.applyList({version(26, second)}, behind, kStart, Millis{0}, kStart));
    REQUIRE(replica.view()->routing->version() == 26);
    REQUIRE(replica.position() == restored);
}
