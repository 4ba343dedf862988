#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "wire/codec.h"

using namespace celeryramp;

namespace {

CallMessage sampleCall()
{
    CallMessage call;
    call.id = 42;
    call.request = "r1";
    call.service = "stock";
    call.headers = {{"Accept", "text/plain"}, {"X", ""}};
    call.body.data = std::string("\0\xFF\x01", 3);
    call.remainingMs = 1000;
    call.repeatSafe = true;
    return call;
}

} // namespace

TEST_CASE("a call survives the wire")
{
    const auto decoded = decode(encode(sampleCall()));
    REQUIRE(decoded);
    const auto &call = std::get<CallMessage>(decoded.value());
    REQUIRE(call.id == 42);
    REQUIRE(call.headers == sampleCall().headers);
    REQUIRE(call.body == sampleCall().body);
    REQUIRE(call.repeatSafe);
    REQUIRE_FALSE(call.retry);
}

TEST_CASE("nested messages survive the wire")
{
    VoteMessage vote{7, "home", Vote::Held, {}};
    vote.record.push_back({"k", "d", "a", RecordState::Done, 200, {{"h", "v"}}, {"body"}, 9});
    const auto decoded = decode(encode(vote));
    REQUIRE(decoded);
    const auto &again = std::get<VoteMessage>(decoded.value());
    REQUIRE(again.vote == Vote::Held);
    REQUIRE(again.record.front().body.data == "body");
    REQUIRE(again.record.front().state == RecordState::Done);
    const RumourMessage rumours{{{RumourKind::Crash, "d s", 3, 1000}}, "root", true};
    REQUIRE(std::get<RumourMessage>(decode(encode(rumours)).value()).rumours.front().sequence == 3);
}

TEST_CASE("frames that are no messages are refused with a reason")
{
    REQUIRE(decode("").error().code == WireErrorCode::Malformed);
    REQUIRE(decode("\x82\x18\x63\x80").error().code == WireErrorCode::UnknownType);
    REQUIRE(decode("\x82\x00\x80").error().code == WireErrorCode::Malformed);
    REQUIRE(decode(std::string(kMaxFrameBytes + 1, 'x')).error().code == WireErrorCode::TooLarge);
    auto truncated = encode(sampleCall());
    truncated.pop_back();
    REQUIRE_FALSE(decode(truncated));
    REQUIRE_FALSE(decode(encode(sampleCall()) + "x"));
}

// Guards against a peer whose frame ends the process by an exception of the parser.
TEST_CASE("a frame that announces more elements than memory can hold is refused")
{
    REQUIRE(decode("\x9B"
                   "aaaaaaaa")
                    .error()
                    .code
            == WireErrorCode::Malformed);
    REQUIRE(decode("\xBB"
                   "aaaaaaaa")
                    .error()
                    .code
            == WireErrorCode::Malformed);
}

TEST_CASE("no bytes break the decoder")
{
    REQUIRE(rc::check("random bytes",
                      [](const std::string &bytes) { static_cast<void>(decode(bytes)); }));
    REQUIRE(rc::check("mutated frames", [] {
        auto frame = encode(sampleCall());
        const auto mutations = *rc::gen::inRange(1, 6);
        for (int i = 0; i < mutations; ++i) {
            frame[*rc::gen::inRange<std::size_t>(0, frame.size())] = *rc::gen::arbitrary<char>();
        }
        const auto decoded = decode(frame);
        if (decoded) {
            RC_ASSERT(decode(encode(decoded.value())).has_value());
        }
    }));
}
