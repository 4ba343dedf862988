#include "links/buffer_share.h"

#include <vector>

#include <catch2/catch.hpp>

using celeryramp::links::hasRoomForFrame;
using celeryramp::links::kMaxBufferedBytes;

namespace {

constexpr std::size_t kFrame = 64 * 1024;
constexpr std::size_t kTotal = 20U << 20U;

} // namespace

TEST_CASE("Pattern: many peers do not read and one does")
{
    constexpr std::size_t kPeers = 194;
    std::vector<std::size_t> held(kPeers, 0);
    std::size_t sum = 0;
    for (int round = 0; round < 100; ++round) {
        for (auto &it : held) {
            if (hasRoomForFrame(it, sum, kTotal)) {
                it += kFrame;
                sum += kFrame;
            }
        }
    }
    // Each may be beyond its share by the frame that was taken last.
    REQUIRE(sum <= kTotal + kPeers * kFrame);
    const auto [least, most] = std::minmax_element(held.begin(), held.end());
    REQUIRE(*most - *least <= kFrame);
    REQUIRE(hasRoomForFrame(0, sum, kTotal));
}

TEST_CASE("A peer alone has its own limit")
{
    REQUIRE(hasRoomForFrame(kMaxBufferedBytes, kMaxBufferedBytes, kTotal));
    REQUIRE_FALSE(hasRoomForFrame(kMaxBufferedBytes + 1, kMaxBufferedBytes + 1, kTotal));
}
