#include "proxy/frame_codec.h"

#include <algorithm>
#include <array>

#include "proxy/frame_fields.h"
#include "proxy/request_rate_limiter.h"
#include "proxy/state_frame_codec.h"

namespace celeryramp::proxy {

namespace internal {

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
        readSyncRequest, readSyncReply, readSuspect, readChanges, readReader,      readBody,
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
