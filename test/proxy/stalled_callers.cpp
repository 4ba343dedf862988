#include "proxy/stalled_callers.h"

#include <catch2/catch.hpp>

using celeryramp::Millis;
using celeryramp::proxy::kStallBeforeReset;
using celeryramp::proxy::selectStalledCallers;
using celeryramp::proxy::UnreadResponses;
using Indexes = std::vector<std::size_t>;

TEST_CASE("Pattern: callers that read little of large answers hold more memory than there is")
{
    const std::vector<UnreadResponses> callers{{30, Millis{900}},
                                               {50, Millis{300}},
                                               {90, kStallBeforeReset - Millis{1}},
                                               {40, kStallBeforeReset}};
    CHECK(selectStalledCallers(callers, 210).empty());
    // Those that hold most go first, and no more than needed.
    CHECK(selectStalledCallers(callers, 209) == Indexes{1});
    CHECK(selectStalledCallers(callers, 159) == Indexes{1, 3});
    // A caller that reads is kept, however much it holds.
    CHECK(selectStalledCallers(callers, 0) == Indexes{1, 3, 0});
    CHECK(selectStalledCallers({}, 0).empty());
}
