#include "proxy/frame_codec.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "proxy/request_rate_limiter.h"

namespace celeryramp::proxy {

namespace internal {

using Json = nlohmann::json;

[[nodiscard]] Json binary(const std::string &bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

[[nodiscard]] std::string bytesOf(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

[[nodiscard]] Json headersToJson(const http::Headers &headers)
{
    Json out = Json::array();
    for (const auto &[name, value] : headers) {
        out.push_back(binary(name));
        out.push_back(binary(value));
    }
    return out;
}

[[nodiscard]] http::Headers headersFromJson(const Json &json)
{
    http::Headers headers;
    for (std::size_t i = 0; i + 1 < json.size(); i += 2) {
        headers.push_back({bytesOf(json[i]), bytesOf(json[i + 1])});
    }
    return headers;
}

/*! Longest wait that a report can tell; a longer one would only be an error. */
constexpr int kMaxWaitMillis = 60'000;

/*! The absence of a limit is encoded as -1, as JSON has no infinity. */
[[nodiscard]] Json rateLimitToJson(const std::optional<double> &limit)
{
    return limit ? Json(*limit < kNoRateLimit ? *limit : -1.0) : Json();
}

/*! @return The rate limit at an index of an array; nothing if nodes of earlier releases omit it. */
[[nodiscard]] std::optional<double> rateLimitFromJson(const Json &json, std::size_t index)
{
    if (json.size() <= index || json[index].is_null()) {
        return std::nullopt;
    }
    const auto limit = json[index].get<double>();
    return limit >= 0.0 ? limit : kNoRateLimit;
}

void append(Json &out, const CallFrame &frame)
{
    out.push_back(frame.id);
    out.push_back(binary(frame.requestId));
    out.push_back(frame.serverId);
    out.push_back(frame.service);
    out.push_back(frame.account);
    out.push_back(frame.callerService);
    out.push_back(frame.deadline.count());
    out.push_back(frame.target.count());
    out.push_back(frame.rank);
    out.push_back((frame.isNested ? 1 : 0) + (frame.isIdempotent ? 2 : 0) + (frame.mayQueue ? 4 : 0)
                  + (frame.isRepeat ? 8 : 0));
    out.push_back(binary(frame.request.method));
    out.push_back(binary(frame.request.target));
    out.push_back(headersToJson(frame.request.headers));
    out.push_back(binary(frame.request.body));
    out.push_back(frame.sentAt);
    out.push_back(rateLimitToJson(frame.rateLimit));
    out.push_back(frame.route);
    out.push_back(frame.answerBytes);
    out.push_back(frame.uploadBytes);
}

[[nodiscard]] Frame readCall(const Json &json)
{
    CallFrame frame;
    frame.id = json.at(1).get<std::uint64_t>();
    frame.requestId = bytesOf(json.at(2));
    frame.serverId = json.at(3).get<std::string>();
    frame.service = json.at(4).get<std::string>();
    frame.account = json.at(5).get<std::string>();
    frame.callerService = json.at(6).get<std::string>();
    frame.deadline = Millis{json.at(7).get<std::int64_t>()};
    frame.target = Millis{json.at(8).get<std::int64_t>()};
    frame.rank = json.at(9).get<int>();
    const int flags = json.at(10).get<int>();
    frame.isNested = (flags & 1) != 0;
    frame.isIdempotent = (flags & 2) != 0;
    frame.mayQueue = (flags & 4) != 0;
    frame.isRepeat = (flags & 8) != 0;
    frame.request.method = bytesOf(json.at(11));
    frame.request.target = bytesOf(json.at(12));
    frame.request.headers = headersFromJson(json.at(13));
    frame.request.body = bytesOf(json.at(14));
    frame.sentAt = json.at(15).get<std::int64_t>();
    frame.rateLimit = rateLimitFromJson(json, 16);
    frame.route = json.size() > 17 ? json[17].get<std::uint32_t>() : 0;
    frame.answerBytes = json.size() > 18 ? json[18].get<std::uint32_t>() : 0;
    frame.uploadBytes = json.size() > 19 ? json[19].get<std::uint64_t>() : 0;
    return frame;
}

/*! @return The status as sent; 0, which no server can give, if it is no whole number that fits. */
[[nodiscard]] int statusFromJson(const Json &json)
{
    constexpr std::uint64_t kLargest = 999;
    const bool isStatus = json.is_number_unsigned() && json.get<std::uint64_t>() <= kLargest;
    return isStatus ? json.get<int>() : 0;
}

void append(Json &out, const ReplyFrame &frame)
{
    out.push_back(frame.id);
    out.push_back(static_cast<int>(frame.kind));
    out.push_back(static_cast<int>(frame.reason));
    out.push_back(frame.reachedServer);
    out.push_back(Json::array({frame.load.running, frame.load.waiting, frame.load.slots,
                               frame.load.serviceMillis, frame.load.rateWaitMillis,
                               frame.load.failurePercent, rateLimitToJson(frame.load.rateLimit),
                               frame.load.isLeaving, frame.load.linkWaitMillis,
                               frame.load.isOverloaded, frame.load.coldMillis}));
    if (frame.kind == ReplyKind::Answer) {
        out.push_back(frame.answer.status);
        out.push_back(binary(frame.answer.reason));
        out.push_back(headersToJson(frame.answer.headers));
        out.push_back(binary(frame.answer.body));
        if (frame.hasMore) {
            out.push_back(frame.length ? Json(*frame.length) : Json());
        }
    }
}

[[nodiscard]] Frame readReply(const Json &json)
{
    ReplyFrame frame;
    frame.id = json.at(1).get<std::uint64_t>();
    const int kind = json.at(2).get<int>();
    if (kind < 0 || kind > static_cast<int>(ReplyKind::Failed)) {
        throw std::out_of_range{"unknown kind of reply"};
    }
    frame.kind = static_cast<ReplyKind>(kind);
    const int reason = json.at(3).get<int>();
    if (reason < 0 || reason > static_cast<int>(Reason::Hung)) {
        throw std::out_of_range{"unknown reason"};
    }
    frame.reason = static_cast<Reason>(reason);
    frame.reachedServer = json.at(4).get<bool>();
    const auto &load = json.at(5);
    frame.load = {load.at(0).get<int>(),
                  load.at(1).get<int>(),
                  load.at(2).get<int>(),
                  load.at(3).get<int>(),
                  load.at(4).get<int>(),
                  load.at(5).get<int>(),
                  rateLimitFromJson(load, 6),
                  load.size() > 7 && load[7].get<bool>(),
                  load.size() > 8 ? std::clamp(load[8].get<int>(), 0, kMaxWaitMillis) : 0,
                  load.size() > 9 && load[9].get<bool>(),
                  load.size() > 10 ? std::clamp(load[10].get<int>(), 0, kMaxWaitMillis) : 0};
    if (frame.kind == ReplyKind::Answer) {
        frame.answer.status = statusFromJson(json.at(6));
        frame.answer.reason = bytesOf(json.at(7));
        frame.answer.headers = headersFromJson(json.at(8));
        frame.answer.body = bytesOf(json.at(9));
        frame.hasMore = json.size() > 10;
        if (frame.hasMore && !json.at(10).is_null()) {
            frame.length = json.at(10).get<std::uint64_t>();
        }
    }
    return frame;
}

void append(Json &out, const CancelFrame &frame)
{
    out.push_back(frame.id);
}

[[nodiscard]] Frame readCancel(const Json &json)
{
    return CancelFrame{json.at(1).get<std::uint64_t>()};
}

void append(Json & /*out*/, const LeavingFrame & /*frame*/) { }

[[nodiscard]] Frame readLeaving(const Json & /*json*/)
{
    return LeavingFrame{};
}

/*! Nodes of the release without eras read fields by their index and stop at the first that cannot
 * start another entry, so eras and versions stand behind all that they read. */
constexpr std::size_t kUsageHead = 5;
constexpr std::size_t kUsageEntry = 3;
constexpr std::size_t kLevelsHead = 4;
constexpr std::size_t kLevelsEntry = 4;

/*! @return Field at an index, or the default value of its type if earlier releases omit it. */
template <typename Value>
[[nodiscard]] Value fieldOr(const Json &json, std::size_t index, Value fallback)
{
    return index < json.size() ? json[index].get<Value>() : fallback;
}

[[nodiscard]] Json toJson(const directory::SourcePosition &position)
{
    return Json::array({position.era, position.revision});
}

/*! @return An era. Throws for one that no source can have reached. */
[[nodiscard]] std::int64_t eraFromJson(const Json &json)
{
    const auto era = json.get<std::int64_t>();
    if (era < 0 || era > directory::kLargestEra) {
        throw std::out_of_range{"era out of range"};
    }
    return era;
}

/*! @return Era at an index; 0 if earlier releases omit it. */
[[nodiscard]] std::int64_t eraOrNone(const Json &json, std::size_t index)
{
    return index < json.size() ? eraFromJson(json[index]) : 0;
}

[[nodiscard]] directory::SourcePosition positionFromJson(const Json &json)
{
    return {eraFromJson(json.at(0)), json.at(1).get<std::int64_t>()};
}

void append(Json &out, const UsageFrame &frame)
{
    out.push_back(frame.zone);
    out.push_back(frame.liveNodes);
    out.push_back(frame.isIdle);
    out.push_back(frame.sentAt);
    for (const auto &[account, usage] : frame.accounts) {
        out.push_back(account);
        out.push_back(static_cast<float>(usage.admitted));
        out.push_back(static_cast<float>(usage.demanded));
    }
    if (frame.position != directory::SourcePosition{}) {
        out.push_back(frame.version);
        out.push_back(toJson(frame.position));
    }
}

[[nodiscard]] Frame readUsage(const Json &json)
{
    UsageFrame frame;
    frame.zone = json.at(1).get<std::string>();
    frame.liveNodes = json.at(2).get<int>();
    frame.isIdle = json.at(3).get<bool>();
    frame.sentAt = json.at(4).get<std::int64_t>();
    std::size_t i = kUsageHead;
    for (; i + kUsageEntry <= json.size(); i += kUsageEntry) {
        frame.accounts[json[i].get<std::string>()]
                = {json[i + 1].get<double>(), json[i + 2].get<double>()};
    }
    frame.version = fieldOr(json, i, frame.version);
    if (i + 1 < json.size()) {
        frame.position = positionFromJson(json[i + 1]);
    }
    return frame;
}

void append(Json &out, const LevelsFrame &frame)
{
    out.push_back(frame.askedAt);
    out.push_back(frame.position.revision);
    out.push_back(frame.age.count());
    for (const auto &[account, level] : frame.accounts) {
        out.push_back(account);
        out.push_back(static_cast<float>(level.level));
        out.push_back(static_cast<float>(level.demand));
        out.push_back(static_cast<float>(level.rate));
    }
    out.push_back(frame.position.era);
    out.push_back(frame.version);
}

[[nodiscard]] Frame readLevels(const Json &json)
{
    LevelsFrame frame;
    frame.askedAt = json.at(1).get<std::int64_t>();
    frame.position.revision = json.at(2).get<std::int64_t>();
    frame.age = Millis{json.at(3).get<std::int64_t>()};
    std::size_t i = kLevelsHead;
    for (; i + kLevelsEntry <= json.size(); i += kLevelsEntry) {
        frame.accounts[json[i].get<std::string>()]
                = {json[i + 1].get<double>(), json[i + 2].get<double>(), json[i + 3].get<double>()};
    }
    frame.position.era = eraOrNone(json, i);
    frame.version = fieldOr(json, i + 1, frame.version);
    return frame;
}

void append(Json &out, const SyncRequestFrame &frame)
{
    out.push_back(frame.position.revision);
    out.push_back(frame.askedAt);
    out.push_back(frame.takesDeltas);
    out.push_back(frame.position.era);
    out.push_back(frame.version);
}

[[nodiscard]] Frame readSyncRequest(const Json &json)
{
    SyncRequestFrame frame;
    frame.position = {eraOrNone(json, 4), json.at(1).get<std::int64_t>()};
    frame.askedAt = json.at(2).get<std::int64_t>();
    frame.takesDeltas = fieldOr(json, 3, false);
    frame.version = fieldOr(json, 5, frame.version);
    return frame;
}

/*! @return Time in the last field, which earlier releases do not send. */
[[nodiscard]] Millis lastMillis(const Json &json, std::size_t index)
{
    return Millis{index < json.size() ? json[index].get<std::int64_t>() : 0};
}

/*! @return Eras of the items of a reply that are not of its own era, by their index; then those of
 * the bases. */
[[nodiscard]] Json otherEras(const SyncReplyFrame &frame)
{
    auto items = Json::array();
    for (std::size_t i = 0; i < frame.items.size(); ++i) {
        if (frame.items[i].era != frame.position.era) {
            items.push_back(i);
            items.push_back(frame.items[i].era);
        }
    }
    auto bases = Json::array();
    for (const auto &[index, base] : frame.bases) {
        if (base.era != frame.position.era) {
            bases.push_back(index);
            bases.push_back(base.era);
        }
    }
    return Json::array({std::move(items), std::move(bases)});
}

void append(Json &out, const SyncReplyFrame &frame)
{
    out.push_back(frame.position.revision);
    out.push_back(frame.askedAt);
    out.push_back(frame.age.count());
    for (const auto &item : frame.items) {
        out.push_back(item.key);
        out.push_back(item.revision);
        out.push_back(binary(item.value));
    }
    out.push_back(frame.renewalTimeLeft.count());
    auto bases = Json::array();
    for (const auto &[index, base] : frame.bases) {
        bases.push_back(index);
        bases.push_back(base.revision);
    }
    // Nodes of the release without eras read pairs, and leave out a single last element.
    auto history = otherEras(frame);
    history.push_back(frame.position.era);
    history.push_back(toJson(frame.since));
    history.push_back(frame.version);
    bases.push_back(std::move(history));
    out.push_back(std::move(bases));
}

void readHistory(SyncReplyFrame &frame, const Json &history)
{
    frame.position.era = eraFromJson(history.at(2));
    frame.since = positionFromJson(history.at(3));
    frame.version = history.at(4).get<std::uint64_t>();
    for (auto &item : frame.items) {
        item.era = frame.position.era;
    }
    for (auto &[index, base] : frame.bases) {
        base.era = frame.position.era;
    }
    const auto &items = history.at(0);
    for (std::size_t k = 0; k + 1 < items.size(); k += 2) {
        frame.items.at(items[k].get<std::size_t>()).era = eraFromJson(items[k + 1]);
    }
    const auto &bases = history.at(1);
    for (std::size_t k = 0; k + 1 < bases.size(); k += 2) {
        frame.bases.at(bases[k].get<std::size_t>()).era = eraFromJson(bases[k + 1]);
    }
}

[[nodiscard]] Frame readSyncReply(const Json &json)
{
    SyncReplyFrame frame;
    frame.position.revision = json.at(1).get<std::int64_t>();
    frame.askedAt = json.at(2).get<std::int64_t>();
    frame.age = Millis{json.at(3).get<std::int64_t>()};
    std::size_t i = 4;
    for (; i + 2 < json.size(); i += 3) {
        frame.items.push_back({json[i].get<std::string>(), bytesOf(json[i + 2]),
                               json[i + 1].get<std::int64_t>(), false});
    }
    frame.renewalTimeLeft = lastMillis(json, i);
    if (++i < json.size()) {
        const auto &bases = json[i];
        for (std::size_t k = 0; k + 1 < bases.size(); k += 2) {
            frame.bases[bases[k].get<std::size_t>()] = {0, bases[k + 1].get<std::int64_t>()};
        }
        if (bases.size() % 2 == 1) {
            readHistory(frame, bases.back());
        }
    }
    return frame;
}

void append(Json &out, const SuspectFrame &frame)
{
    out.push_back(frame.digest);
    out.push_back(frame.serverId);
    out.push_back(frame.crash);
}

[[nodiscard]] Frame readSuspect(const Json &json)
{
    return SuspectFrame{json.at(1).get<std::uint64_t>(), json.at(2).get<std::string>(),
                        json.at(3).get<std::uint64_t>()};
}

void append(Json &out, const ChangesFrame &frame)
{
    out.push_back(frame.after.revision);
    out.push_back(frame.position.revision);
    auto baseEras = Json::array();
    for (std::size_t i = 0; i < frame.changes.size(); ++i) {
        const auto &change = frame.changes[i];
        const auto base = i < frame.bases.size() ? frame.bases[i] : directory::SourcePosition{};
        out.push_back(change.key);
        out.push_back(change.revision);
        out.push_back(base.revision);
        out.push_back(change.isRemoved ? Json{} : binary(change.value));
        baseEras.push_back(base.era);
    }
    out.push_back(frame.renewalTimeLeft.count());
    out.push_back(frame.position.era);
    out.push_back(std::move(baseEras));
}

[[nodiscard]] Frame readNews(const Json &json)
{
    ChangesFrame frame;
    frame.after.revision = json.at(1).get<std::int64_t>();
    frame.position.revision = json.at(2).get<std::int64_t>();
    std::size_t i = 3;
    for (; i + 3 < json.size(); i += 4) {
        const bool isRemoved = json[i + 3].is_null();
        frame.changes.push_back({json[i].get<std::string>(),
                                 isRemoved ? std::string{} : bytesOf(json[i + 3]),
                                 json[i + 1].get<std::int64_t>(), isRemoved});
        frame.bases.push_back({0, json[i + 2].get<std::int64_t>()});
    }
    frame.renewalTimeLeft = lastMillis(json, i);
    const auto era = eraOrNone(json, i + 1);
    frame.after.era = era;
    frame.position.era = era;
    for (std::size_t k = 0; k < frame.changes.size(); ++k) {
        frame.changes[k].era = era;
        frame.bases[k].era = i + 2 < json.size() ? eraFromJson(json[i + 2].at(k)) : 0;
    }
    return frame;
}

void append(Json &out, const ReaderStatusFrame &frame)
{
    out.push_back(frame.canRead);
}

[[nodiscard]] Frame readReader(const Json &json)
{
    return ReaderStatusFrame{json.at(1).get<bool>()};
}

void append(Json &out, const BodyFrame &frame)
{
    out.push_back(frame.id);
    out.push_back(frame.offset);
    out.push_back(static_cast<int>(frame.end));
    out.push_back(binary(frame.bytes));
}

[[nodiscard]] Frame readBody(const Json &json)
{
    BodyFrame frame;
    frame.id = json.at(1).get<std::uint64_t>();
    frame.offset = json.at(2).get<std::uint64_t>();
    const int end = json.at(3).get<int>();
    if (end < 0 || end > static_cast<int>(BodyEnd::Broken)) {
        throw std::out_of_range{"unknown end of a body"};
    }
    frame.end = static_cast<BodyEnd>(end);
    frame.bytes = bytesOf(json.at(4));
    return frame;
}

void append(Json &out, const CreditFrame &frame)
{
    out.push_back(frame.id);
    out.push_back(frame.bytes);
}

[[nodiscard]] Frame readCredit(const Json &json)
{
    return CreditFrame{json.at(1).get<std::uint64_t>(), json.at(2).get<std::uint64_t>()};
}

void append(Json & /*out*/, const ClosedFrame & /*frame*/) { }

[[nodiscard]] Frame readClosed(const Json & /*json*/)
{
    return ClosedFrame{};
}

void append(Json &out, const HungFrame &frame)
{
    out.push_back(frame.id);
}

[[nodiscard]] Frame readHung(const Json &json)
{
    return HungFrame{json.at(1).get<std::uint64_t>()};
}

void append(Json &out, const UploadFrame &frame)
{
    out.push_back(frame.id);
    out.push_back(frame.offset);
    out.push_back(binary(frame.bytes));
}

[[nodiscard]] Frame readUpload(const Json &json)
{
    return UploadFrame{json.at(1).get<std::uint64_t>(), json.at(2).get<std::uint64_t>(),
                       bytesOf(json.at(3))};
}

void append(Json &out, const UploadCreditFrame &frame)
{
    out.push_back(frame.id);
    out.push_back(frame.bytes);
}

[[nodiscard]] Frame readUploadCredit(const Json &json)
{
    return UploadCreditFrame{json.at(1).get<std::uint64_t>(), json.at(2).get<std::uint64_t>()};
}

using ReadFrame = Frame (*)(const Json &);

/*! Decoders by the index of the type in `Frame`. */
constexpr std::array<ReadFrame, std::variant_size_v<Frame>> kReaders{
        readCall,        readReply,     readCancel,  readLeaving, readUsage,       readLevels,
        readSyncRequest, readSyncReply, readSuspect, readNews,    readReader,      readBody,
        readCredit,      readClosed,    readHung,    readUpload,  readUploadCredit};

/*! @return Call that a frame which cannot be decoded answers; nothing if it is no answer. */
[[nodiscard]] std::optional<std::uint64_t> answeredCall(const Json &json)
{
    const auto isNumber = [&json](std::size_t index) {
        return json.is_array() && json.size() > index && json[index].is_number_unsigned();
    };
    if (!isNumber(0) || !isNumber(1)) {
        return std::nullopt;
    }
    const auto type = json[0].get<std::size_t>();
    const bool isAnswer = type == Frame{ReplyFrame{}}.index() || type == Frame{BodyFrame{}}.index();
    return isAnswer ? std::optional{json[1].get<std::uint64_t>()} : std::nullopt;
}

} // namespace internal

std::string encodeFrame(const Frame &frame)
{
    auto out = internal::Json::array({frame.index()});
    std::visit([&out](const auto &it) { internal::append(out, it); }, frame);
    std::string bytes;
    internal::Json::to_cbor(out, bytes);
    return bytes;
}

Result<Frame, FrameError> decodeFrame(std::string_view bytes)
{
    internal::Json json;
    try {
        json = internal::Json::from_cbor(bytes.begin(), bytes.end());
        return internal::kReaders.at(json.at(0).get<std::size_t>())(json);
    } catch (const std::exception &error) {
        return FrameError{error.what(), internal::answeredCall(json)};
    }
}

} // namespace celeryramp::proxy
