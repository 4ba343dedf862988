#include "proxy/frame_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "proxy/request_rate_limiter.h"
#include <rapidcheck/catch.h>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

/*! @return A frame as a release sends it that does not know its last fields. */
std::string withoutLast(const std::string &frame, std::size_t fields)
{
    auto json = nlohmann::json::from_cbor(frame);
    json.erase(json.end() - static_cast<std::ptrdiff_t>(fields), json.end());
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

} // namespace

TEST_CASE("Calls and replies with binary data are unchanged after encoding and decoding")
{
    CallFrame call;
    call.id = 1U;
    call.id <<= 63U;
    call.requestId = std::string{"r\0\xff", 3};
    call.serverId = "s";
    call.deadline = Millis{1200};
    call.target = Millis{-40};
    call.rank = 17;
    call.isNested = true;
    call.isRepeat = true;
    call.rateLimit = 12.5;
    call.mayQueue = false;
    call.route = 0xfedcba98U;
    call.answerBytes = 90'000;
    call.uploadBytes = 60'000'000;
    call.request.method = "PUT";
    call.request.target = "/a/?b";
    call.request.headers = {{"A", "b"}, {"A", std::string{"\xe9", 1}}};
    call.request.body = std::string{"\0\1\2", 3};
    const auto decoded = decodeFrame(encodeFrame(call));
    REQUIRE(decoded);
    const auto &back = std::get<CallFrame>(decoded.value());
    REQUIRE(back.id == call.id);
    REQUIRE(back.requestId == call.requestId);
    REQUIRE(back.target == call.target);
    REQUIRE(back.isNested);
    REQUIRE(back.isRepeat);
    REQUIRE(back.rateLimit == 12.5);
    REQUIRE_FALSE(back.mayQueue);
    REQUIRE(back.route == call.route);
    REQUIRE(back.answerBytes == 90'000);
    REQUIRE(back.uploadBytes == 60'000'000);
    REQUIRE_FALSE(back.isIdempotent);
    REQUIRE(back.request.body == call.request.body);
    REQUIRE(back.request.headers.at(1).value == call.request.headers.at(1).value);

    ReplyFrame reply;
    reply.id = 9;
    reply.kind = ReplyKind::Answer;
    reply.load = {3, 4, 12, 110, -1, 0, kNoRateLimit, true, 700, true};
    reply.answer.status = 418;
    reply.answer.body = "tea";
    const auto decodedReply = decodeFrame(encodeFrame(reply));
    const auto &backReply = std::get<ReplyFrame>(decodedReply.value());
    REQUIRE(backReply.answer.status == 418);
    REQUIRE(backReply.load.waiting == 4);
    REQUIRE(backReply.load.rateWaitMillis == -1);
    REQUIRE(backReply.load.rateLimit == kNoRateLimit);
    REQUIRE(backReply.load.isLeaving);
    REQUIRE(backReply.load.linkWaitMillis == 700);
    REQUIRE(backReply.load.isOverloaded);
}

TEST_CASE("Parts of request bodies and their credits are unchanged after encoding and decoding")
{
    const auto part = decodeFrame(encodeFrame(UploadFrame{7, 65'536, std::string{"\0a", 2}}));
    REQUIRE(std::get<UploadFrame>(part.value()).id == 7);
    REQUIRE(std::get<UploadFrame>(part.value()).offset == 65'536);
    REQUIRE(std::get<UploadFrame>(part.value()).bytes == std::string{"\0a", 2});
    const auto credit = decodeFrame(encodeFrame(UploadCreditFrame{7, 65'536}));
    REQUIRE(std::get<UploadCreditFrame>(credit.value()).bytes == 65'536);
}

TEST_CASE("A wait that no gate can have is not taken from a report")
{
    ReplyFrame reply;
    reply.load.linkWaitMillis = -5;
    REQUIRE(std::get<ReplyFrame>(decodeFrame(encodeFrame(reply)).value()).load.linkWaitMillis == 0);
    reply.load.linkWaitMillis = 2'000'000'000;
    REQUIRE(std::get<ReplyFrame>(decodeFrame(encodeFrame(reply)).value()).load.linkWaitMillis
            <= 60'000);
}

TEST_CASE("Removed and empty items are distinct after encoding and decoding")
{
    ChangesFrame changesFrame{
            {0, 4}, {0, 6}, {{"a", "", 5, true}, {"b", "x", 6, false}}, {}, Millis{900}};
    const auto decoded = decodeFrame(encodeFrame(changesFrame));
    const auto &back = std::get<ChangesFrame>(decoded.value());
    REQUIRE(back.after == directory::SourcePosition{0, 4});
    REQUIRE(back.changes.at(0).isRemoved);
    REQUIRE_FALSE(back.changes.at(1).isRemoved);
    REQUIRE(back.changes.at(1).value == "x");
    REQUIRE(back.renewalTimeLeft == Millis{900});
}

TEST_CASE("The time for renewals follows the items of a list and may be missing")
{
    const SyncReplyFrame reply{{0, 7}, 1, Millis{20}, {{"a", "x", 5, false}}, Millis{800}, {}};
    const auto bytes = encodeFrame(reply);
    const auto decoded = decodeFrame(bytes);
    const auto &back = std::get<SyncReplyFrame>(decoded.value());
    REQUIRE(back.items.size() == 1);
    REQUIRE(back.renewalTimeLeft == Millis{800});
    // Earlier releases send neither the bases nor, before that, the time.
    REQUIRE(std::get<SyncReplyFrame>(decodeFrame(withoutLast(bytes, 1)).value()).renewalTimeLeft
            == Millis{800});
    const auto earlier = decodeFrame(withoutLast(bytes, 2));
    REQUIRE(std::get<SyncReplyFrame>(earlier.value()).items.size() == 1);
    REQUIRE(std::get<SyncReplyFrame>(earlier.value()).renewalTimeLeft == Millis{0});
}

TEST_CASE("The bases of deltas follow a list and are asked for by nodes that read them")
{
    SyncReplyFrame reply{{0, 7},    1, Millis{20}, {{"a", "x", 5, false}, {"b", "y", 6, false}},
                         Millis{0}, {}};
    reply.bases[1] = {0, 4};
    const auto decoded = decodeFrame(encodeFrame(reply));
    const auto &back = std::get<SyncReplyFrame>(decoded.value());
    REQUIRE(back.items.size() == 2);
    REQUIRE(back.bases == reply.bases);
    const auto request = decodeFrame(encodeFrame(SyncRequestFrame{{0, 3}, 1, true}));
    REQUIRE(std::get<SyncRequestFrame>(request.value()).takesDeltas);
    // As sent by earlier releases, which have neither deltas nor eras and versions.
    const auto earlier
            = decodeFrame(withoutLast(encodeFrame(SyncRequestFrame{{0, 3}, 1, true}), 3));
    REQUIRE(std::get<SyncRequestFrame>(earlier.value()).position.revision == 3);
    REQUIRE_FALSE(std::get<SyncRequestFrame>(earlier.value()).takesDeltas);
}

TEST_CASE("Malformed frames are rejected without a crash")
{
    rc::prop("random bytes",
             [](const std::string &bytes) { static_cast<void>(decodeFrame(bytes)); });
    rc::prop("a frame with one byte changed", [](unsigned place, char value) {
        CallFrame call;
        call.requestId = "abc";
        call.request.headers = {{"A", "b"}};
        auto bytes = encodeFrame(call);
        bytes[place % bytes.size()] = value;
        static_cast<void>(decodeFrame(bytes));
    });
    REQUIRE_FALSE(decodeFrame(""));
}
