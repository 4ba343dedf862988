#include "proxy/frame_codec.h"

#include <algorithm>
#include <functional>
#include <map>

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

namespace {

using directory::SourcePosition;

/*! @return A frame after encoding and decoding, with its fields in between changed. */
template <typename FrameType>
FrameType sent(const FrameType &frame, std::size_t fieldsLess = 0)
{
    const auto decoded = decodeFrame(withoutLast(encodeFrame(frame), fieldsLess));
    REQUIRE(decoded);
    return std::get<FrameType>(decoded.value());
}

UsageFrame usageFrame(int accounts)
{
    UsageFrame frame{"north", 3, true, 77, {}, {2, 60}, 9};
    for (int i = 0; i < accounts; ++i) {
        frame.accounts["account" + std::to_string(i)] = {1.0, 2.0};
    }
    return frame;
}

LevelsFrame levelsFrame(int accounts)
{
    LevelsFrame frame{77, {2, 60}, Millis{30}, {}, 9};
    for (int i = 0; i < accounts; ++i) {
        frame.accounts["account" + std::to_string(i)] = {1.0, 2.0, 3.0};
    }
    return frame;
}

/*! @return A reply whose items and bases are of the present era, the former one and one before. */
SyncReplyFrame syncReplyFrame(std::size_t items)
{
    SyncReplyFrame frame{{2, 60}, 77, Millis{30}, {}, Millis{800}, {}, {1, 58}, 9};
    for (std::size_t i = 0; i < items; ++i) {
        const auto era = static_cast<std::int64_t>(2 - i % 3);
        frame.items.push_back({"key" + std::to_string(i), "x", 40, false, era});
        if (i % 2 == 0) {
            frame.bases[i] = {static_cast<std::int64_t>(2 - i % 4 / 2), 30};
        }
    }
    return frame;
}

ChangesFrame changesFrame(std::size_t changes)
{
    ChangesFrame frame{{2, 58}, {2, 60}, {}, {}, Millis{800}};
    for (std::size_t i = 0; i < changes; ++i) {
        frame.changes.push_back(
                {"key" + std::to_string(i), i % 2 == 0 ? "x" : "", 59, i % 2 == 1, 2});
        frame.bases.push_back(i % 3 == 0 ? SourcePosition{1, 50} : SourcePosition{});
    }
    return frame;
}

bool isSame(const directory::ItemChange &a, const directory::ItemChange &b)
{
    return a.key == b.key && a.value == b.value && a.position() == b.position()
            && a.isRemoved == b.isRemoved;
}

bool areSame(const std::vector<directory::ItemChange> &a,
             const std::vector<directory::ItemChange> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), isSame);
}

} // namespace

TEST_CASE("Eras and versions of frames are unchanged after encoding and decoding")
{
    const int n = GENERATE(range(0, 7));
    CAPTURE(n);
    const auto usage = sent(usageFrame(n));
    CHECK(usage.position == SourcePosition{2, 60});
    CHECK(usage.version == 9);
    CHECK(usage.accounts.size() == static_cast<std::size_t>(n));
    const auto levels = sent(levelsFrame(n));
    CHECK(levels.position == SourcePosition{2, 60});
    CHECK(levels.version == 9);
    CHECK(levels.accounts.size() == static_cast<std::size_t>(n));
    const auto request = sent(SyncRequestFrame{{2, 60}, 77, n % 2 == 0, 9});
    CHECK(request.position == SourcePosition{2, 60});
    CHECK(request.takesDeltas == (n % 2 == 0));
    CHECK(request.version == 9);
    const auto items = static_cast<std::size_t>(n);
    const auto reply = sent(syncReplyFrame(items));
    CHECK(reply.position == SourcePosition{2, 60});
    CHECK(reply.since == SourcePosition{1, 58});
    CHECK(reply.version == 9);
    CHECK(reply.renewalTimeLeft == Millis{800});
    CHECK(areSame(reply.items, syncReplyFrame(items).items));
    CHECK(reply.bases == syncReplyFrame(items).bases);
    const auto changes = sent(changesFrame(items));
    CHECK(changes.after == SourcePosition{2, 58});
    CHECK(changes.position == SourcePosition{2, 60});
    CHECK(changes.renewalTimeLeft == Millis{800});
    CHECK(areSame(changes.changes, changesFrame(items).changes));
    CHECK(changes.bases == changesFrame(items).bases);
}

TEST_CASE("A node that has no state yet reports none")
{
    auto frame = usageFrame(2);
    frame.position = {};
    frame.version = 0;
    const auto usage = sent(frame);
    CHECK(usage.position == SourcePosition{});
    CHECK(usage.version == 0);
    CHECK(usage.accounts.size() == 2);
}

// Guards against a node that reads an era from the fields of a release that sends none.
TEST_CASE("Frames of the release without eras have none")
{
    const int n = GENERATE(range(0, 7));
    CAPTURE(n);
    const auto usage = sent(usageFrame(n), 2);
    CHECK(usage.position == SourcePosition{});
    CHECK(usage.version == 0);
    CHECK(usage.accounts.size() == static_cast<std::size_t>(n));
    const auto levels = sent(levelsFrame(n), 2);
    CHECK(levels.position == SourcePosition{0, 60});
    CHECK(levels.version == 0);
    CHECK(levels.accounts.size() == static_cast<std::size_t>(n));
    const auto request = sent(SyncRequestFrame{{2, 60}, 77, true, 9}, 2);
    CHECK(request.position == SourcePosition{0, 60});
    CHECK(request.takesDeltas);
    CHECK(request.version == 0);
    const auto items = static_cast<std::size_t>(n);
    const auto changes = sent(changesFrame(items), 2);
    CHECK(changes.after == SourcePosition{0, 58});
    CHECK(changes.position == SourcePosition{0, 60});
    CHECK(changes.renewalTimeLeft == Millis{800});
    REQUIRE(changes.changes.size() == items);
    for (std::size_t i = 0; i < items; ++i) {
        CHECK(changes.changes[i].position() == SourcePosition{0, 59});
        CHECK(changes.bases[i] == SourcePosition{0, changesFrame(items).bases[i].revision});
    }
}

TEST_CASE("States of the release without eras have none")
{
    const std::size_t items = GENERATE(0U, 1U, 2U, 3U, 4U, 5U, 6U);
    CAPTURE(items);
    const auto whole = nlohmann::json::from_cbor(encodeFrame(syncReplyFrame(items)));
    auto json = whole;
    SECTION("with bases")
    {
        json.back().erase(json.back().size() - 1);
    }
    SECTION("without bases")
    {
        json.erase(json.size() - 1);
    }
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    const auto reply = std::get<SyncReplyFrame>(decodeFrame(bytes).value());
    CHECK(reply.position == SourcePosition{0, 60});
    CHECK(reply.since == SourcePosition{});
    CHECK(reply.version == 0);
    CHECK(reply.renewalTimeLeft == Millis{800});
    REQUIRE(reply.items.size() == items);
    for (const auto &it : reply.items) {
        CHECK(it.position() == SourcePosition{0, 40});
    }
    CHECK(reply.bases.size() == (json.size() == whole.size() ? (items + 1) / 2 : 0));
    for (const auto &[index, base] : reply.bases) {
        CHECK(base == SourcePosition{0, 30});
    }
}

namespace {

/*! @brief Field arithmetic of the release without eras. */
struct FormerReader
{
    nlohmann::json json;

    template <typename FrameType>
    explicit FormerReader(const FrameType &frame)
        : json(nlohmann::json::from_cbor(encodeFrame(frame))) // braces would make a list of one
    { }

    /*! @return Number of entries; `next` is the first field behind them. */
    std::size_t entries(std::size_t first, std::size_t size)
    {
        std::size_t n = 0;
        for (next = first; next + size - 1 < json.size(); next += size) {
            REQUIRE(json.at(next).is_string());
            ++n;
        }
        return n;
    }
    [[nodiscard]] std::int64_t millisAtNext() const
    {
        return next < json.size() ? json[next].get<std::int64_t>() : 0;
    }

    std::size_t next = 0;
};

} // namespace

// Guards against a frame that nodes of the former release reject or read wrongly in an upgrade.
TEST_CASE("Nodes of the release without eras read the frames of this one")
{
    const int n = GENERATE(range(0, 7));
    const auto items = static_cast<std::size_t>(n);
    CAPTURE(n);
    CHECK(FormerReader{usageFrame(n)}.entries(5, 3) == items);
    FormerReader levels{levelsFrame(n)};
    CHECK(levels.json.at(2) == 60);
    CHECK(levels.json.at(3) == 30);
    CHECK(levels.entries(4, 4) == items);
    const FormerReader request{SyncRequestFrame{{2, 60}, 77, true, 9}};
    CHECK(request.json.at(1) == 60);
    CHECK(request.json.at(2) == 77);
    CHECK(request.json.at(3) == true);

    FormerReader reply{syncReplyFrame(items)};
    CHECK(reply.json.at(1) == 60);
    CHECK(reply.entries(4, 3) == items);
    CHECK(reply.millisAtNext() == 800);
    std::map<std::size_t, std::int64_t> bases;
    if (++reply.next < reply.json.size()) {
        const auto &pairs = reply.json[reply.next];
        for (std::size_t k = 0; k + 1 < pairs.size(); k += 2) {
            bases[pairs[k].get<std::size_t>()] = pairs[k + 1].get<std::int64_t>();
        }
    }
    CHECK(bases.size() == syncReplyFrame(items).bases.size());
    for (const auto &[index, base] : bases) {
        CHECK(base == 30);
    }

    FormerReader changes{changesFrame(items)};
    CHECK(changes.json.at(1) == 58);
    CHECK(changes.json.at(2) == 60);
    CHECK(changes.entries(3, 4) == items);
    CHECK(changes.millisAtNext() == 800);
    for (std::size_t i = 0; i < items; ++i) {
        CHECK(changes.json.at(3 + 4 * i + 2) == changesFrame(items).bases[i].revision);
    }
}

// Guards against a node that one damaged frame of a peer stops.
TEST_CASE("Malformed eras are rejected without a crash")
{
    const std::vector<std::string> frames{encodeFrame(usageFrame(2)), encodeFrame(levelsFrame(2)),
                                          encodeFrame(SyncRequestFrame{{2, 60}, 77, true, 9}),
                                          encodeFrame(syncReplyFrame(4)),
                                          encodeFrame(changesFrame(4))};
    rc::prop("a frame with one byte changed", [&](unsigned frame, unsigned place, char value) {
        auto bytes = frames[frame % frames.size()];
        bytes[place % bytes.size()] = value;
        static_cast<void>(decodeFrame(bytes));
    });
    // Indexes and lists of bases that do not fit the items.
    const auto changed
            = [](std::size_t items, const std::function<void(nlohmann::json &)> &change) {
                  auto json = nlohmann::json::from_cbor(encodeFrame(syncReplyFrame(items)));
                  change(json.back());
                  std::string bytes;
                  nlohmann::json::to_cbor(json, bytes);
                  return decodeFrame(bytes);
              };
    CHECK_FALSE(changed(2, [](auto &bases) { bases.back()[0] = {9, 1}; }));
    CHECK_FALSE(changed(2, [](auto &bases) { bases.back()[1] = {9, 1}; }));
    CHECK_FALSE(changed(2, [](auto &bases) { bases.back()[3] = {1}; }));
    CHECK_FALSE(changed(2, [](auto &bases) { bases.back() = 7; }));
    auto changes = nlohmann::json::from_cbor(encodeFrame(changesFrame(2)));
    changes.back().erase(0);
    std::string bytes;
    nlohmann::json::to_cbor(changes, bytes);
    CHECK_FALSE(decodeFrame(bytes));
}

// Guards against an absurd era of one frame, which comes after all that the source will ever name.
TEST_CASE("Eras that no source can have reached are refused")
{
    const std::int64_t era
            = GENERATE(as<std::int64_t>{}, -1, std::int64_t{1} << 62, directory::kLargestEra + 1);
    CAPTURE(era);
    auto usage = usageFrame(2);
    usage.position.era = era;
    CHECK_FALSE(decodeFrame(encodeFrame(usage)));
    auto levels = levelsFrame(2);
    levels.position.era = era;
    CHECK_FALSE(decodeFrame(encodeFrame(levels)));
    CHECK_FALSE(decodeFrame(encodeFrame(SyncRequestFrame{{era, 60}, 77, true, 9})));
    auto reply = syncReplyFrame(4);
    SECTION("of the state")
    {
        reply.position.era = era;
    }
    SECTION("of an item")
    {
        reply.items.at(0).era = era;
    }
    SECTION("of a base")
    {
        reply.bases[1] = {era, 4};
    }
    SECTION("of the request")
    {
        reply.since.era = era;
    }
    CHECK_FALSE(decodeFrame(encodeFrame(reply)));
    auto changes = changesFrame(4);
    changes.position.era = era;
    CHECK_FALSE(decodeFrame(encodeFrame(changes)));
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
