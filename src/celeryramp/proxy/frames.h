#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "admission/body_budget.h"
#include "core/time.h"
#include "directory/replica.h"
#include "http/message.h"
#include "proxy/gate_load.h"
#include "proxy/reason.h"

namespace celeryramp::proxy {

/*! @brief A call offered to the gate of a server. */
struct CallFrame
{
    std::uint64_t id
            = 0; /*!< Unique at the sending node; identifies the call in replies and cancels. */
    std::string requestId;
    std::string serverId; /*!< Intended server instance; changes with each start. */
    std::string service;
    std::string account; /*!< Empty for open routes. */
    std::string callerService;
    Millis deadline{0}; /*!< Time left until the caller's deadline or the route's timeout. */
    Millis target{0}; /*!< Time left to meet the target latency; may be negative. */
    int rank = 0; /*!< Priority; 0 is the most urgent. */
    bool isNested = false; /*!< Sent by a server that occupies a slot until the answer. */
    bool isIdempotent = false;
    bool isRepeat = false; /*!< It has reached a server before. */
    bool mayQueue
            = true; /*!< False: refuse it if the target cannot be met, as others can be asked. */
    std::optional<double> rateLimit; /*!< Last known `GateLoad::rateLimit` of the server. */
    std::uint32_t route = 0; /*!< Tells routes apart at the gate; 0 from earlier releases. */
    std::uint32_t answerBytes = 0; /*!< Expected length of the answer. */
    http::Request request; /*!< Without hop-by-hop headers and credentials. */
    admission::HeldBodyPtr
            longBody; /*!< Body over `kInlineBodyBytes`, instead of that in `request`.
                         It is not part of the frame, but follows in parts. */
    std::uint64_t uploadBytes = 0; /*!< Length of a body that follows in `UploadFrame`s. */
    std::int64_t sentAt
            = 0; /*!< Nanoseconds on the sender's clock; shows how long it was under way. */
};

/*! @brief Outcome of a call at a gate. */
enum class ReplyKind : std::uint8_t {
    Answer, /*!< The server answered completely. */
    NotRun, /*!< The server did not execute it and will not. */
    Failed /*!< The server may have executed it. */
};

/*! @brief A gate's reply to a call. */
struct ReplyFrame
{
    std::uint64_t id = 0;
    ReplyKind kind = ReplyKind::NotRun;
    Reason reason = Reason::None;
    bool reachedServer = false; /*!< The server itself refused it, also because it is not the
                                   intended one; counts as an attempt. */
    GateLoad load;
    http::Answer answer; /*!< With the first part of its body if `hasMore`. */
    bool hasMore = false; /*!< The rest of the body follows in `BodyFrame`s. */
    std::optional<std::uint64_t> length; /*!< Announced length of a body that follows in parts. */
};

/*! Unacknowledged bytes of a body that a gate may send. It bounds what the receiving node holds of
 * one answer. */
inline constexpr std::size_t kBodyWindowBytes = 192 * 1024;
/*! Longest body that is sent to another node within the reply; longer ones follow in parts. */
inline constexpr std::size_t kInlineBodyBytes = 16 * 1024;
/*! Longest body that a gate sends whole. Until it is complete, a broken answer can be replaced by
 * that of another server. */
inline constexpr std::size_t kWholeBodyBytes = 128 * 1024;

/*! @brief State of a body after one of its parts. */
enum class BodyEnd : std::uint8_t {
    More, /*!< Further parts follow. */
    Complete,
    Broken /*!< The server's answer ended early; what was sent of it is not whole. */
};

/*! @brief A further part of the body of an answer. */
struct BodyFrame
{
    std::uint64_t id = 0; /*!< Of the call. */
    std::uint64_t offset = 0; /*!< Of the first byte in the body. */
    BodyEnd end = BodyEnd::More;
    std::string bytes;
};

/*! @brief Acknowledges bytes of a body that the caller was sent, so that as many more may follow.
 */
struct CreditFrame
{
    std::uint64_t id = 0; /*!< Of the call. */
    std::uint64_t bytes = 0;
};

/*! @brief Last frame of a node that shuts down: it has executed no call that it did not reply to,
 * and will execute none. */
struct ClosedFrame
{
};

/*! @return A reply for a call of which nothing reached a server. */
[[nodiscard]] inline ReplyFrame notRunReply(std::uint64_t id, Reason reason)
{
    ReplyFrame reply;
    reply.id = id;
    reply.reason = reason;
    return reply;
}

/*! @return A reply for a call that a server may have executed. */
[[nodiscard]] inline ReplyFrame failedReply(std::uint64_t id, Reason reason)
{
    auto reply = notRunReply(id, reason);
    reply.kind = ReplyKind::Failed;
    return reply;
}

/*! @brief Cancels a call whose caller no longer waits. */
struct CancelFrame
{
    std::uint64_t id = 0;
};

/*! @brief Announces that the sending node accepts no new calls. */
struct LeavingFrame
{
};

/*! @brief Number of requests of one account since the last report. */
struct AccountUsage
{
    double admitted = 0.0;
    double demanded = 0.0;
};

/*! @brief Usage of all accounts at one node or in one zone. */
struct UsageFrame
{
    std::string zone; /*!< Set only if the report covers a whole zone. */
    int liveNodes = 0; /*!< Nodes of the zone that report to the sender, with itself. */
    bool isIdle = false; /*!< The zone has no requests, so it reports at longer intervals. */
    std::int64_t sentAt = 0; /*!< Nanoseconds on the sender's clock; echoed in the levels. */
    std::map<std::string, AccountUsage> accounts;
    directory::SourcePosition position; /*!< Of the sender's replica. */
    std::uint64_t version = 0; /*!< `directory::Replica::knownVersion` of the sender. */
};

/*! @brief Fleet-wide state of an account's rate limit. */
struct AccountLevel
{
    double level = 0.0; /*!< Tokens of the fleet-wide bucket; negative when overdrawn. */
    double demand = 0.0; /*!< Requests per second over all live nodes. */
    double rate = 0.0; /*!< Requests per second that these may admit together. */
};

/*! @brief Fleet-wide state of the rate-limited accounts with recent demand. */
struct LevelsFrame
{
    std::int64_t askedAt = 0; /*!< `sentAt` of the report that this answers. */
    directory::SourcePosition position; /*!< Of the sender's replica. */
    Millis age{0}; /*!< Time since that position was last confirmed. */
    std::map<std::string, AccountLevel> accounts;
    std::uint64_t version = 0; /*!< `directory::Replica::knownVersion` of the sender. */
};

/*! @brief Requests the directory items that changed after a position. */
struct SyncRequestFrame
{
    directory::SourcePosition position;
    std::int64_t askedAt = 0; /*!< Nanoseconds on the sender's clock; echoed in the reply. */
    bool takesDeltas = false; /*!< Nodes of earlier releases read whole values only. */
    std::uint64_t version = 0; /*!< `directory::Replica::knownVersion` of the sender. */
};

/*! @brief The directory items known to a peer. */
struct SyncReplyFrame
{
    directory::SourcePosition position;
    std::int64_t askedAt = 0; /*!< `askedAt` of the request. */
    Millis age{0}; /*!< Time since the peer's position was last confirmed. */
    std::vector<directory::ItemChange>
            items; /*!< All keys; values only of items newer than requested. */
    Millis renewalTimeLeft{0}; /*!< `directory::Replica::renewalTimeLeft` at the peer. */
    std::map<std::size_t, directory::SourcePosition>
            bases; /*!< Base positions of the values that are deltas, by index of the item. */
    directory::SourcePosition since; /*!< `position` of the request. */
    std::uint64_t version = 0; /*!< `directory::Replica::knownVersion` of the peer. */
};

/*! @brief Directory changes that a node has read from the platform, for the nodes of its zone.
 * Without changes it announces a position whose changes are too large to send. */
struct ChangesFrame
{
    directory::SourcePosition after; /*!< Position that the changes apply to, in the same era. */
    directory::SourcePosition position;
    std::vector<directory::ItemChange>
            changes; /*!< A value is a delta if its entry in `bases` is a position. */
    std::vector<directory::SourcePosition> bases; /*!< Base position of each change's delta. */
    Millis renewalTimeLeft{0}; /*!< `directory::Replica::renewalTimeLeft` at the reader. */
};

/*! @brief Reports a request that was running when a server crashed. */
struct SuspectFrame
{
    std::uint64_t digest = 0; /*!< See `requestDigest`. */
    std::string serverId;
    std::uint64_t crash = 0; /*!< Distinguishes crashes of the same server. */
};

/*! @brief Announces whether the sending node can read the platform. */
struct ReaderStatusFrame
{
    bool canRead = false;
};

/*! @brief Tells that the server of a call seems to hang. The call goes on unless its sender cancels
 * it because another server can take it. */
struct HungFrame
{
    std::uint64_t id = 0; /*!< Of the call. */
};

/*! Unacknowledged bytes of a request body that a node may send to a gate. */
inline constexpr std::size_t kUploadWindowBytes = 256 * 1024;
/*! Bytes of one part of a request body. */
inline constexpr std::size_t kUploadPartBytes = 64 * 1024;

/*! @brief A part of a long request body, for a gate. The call is complete with the last one. */
struct UploadFrame
{
    std::uint64_t id = 0; /*!< Of the call. */
    std::uint64_t offset = 0; /*!< Of the first byte in the body. */
    std::string bytes;
};

/*! @brief Acknowledges bytes of a request body, so that as many more may follow. */
struct UploadCreditFrame
{
    std::uint64_t id = 0; /*!< Of the call. */
    std::uint64_t bytes = 0;
};

using Frame = std::variant<CallFrame, ReplyFrame, CancelFrame, LeavingFrame, UsageFrame,
                           LevelsFrame, SyncRequestFrame, SyncReplyFrame, SuspectFrame,
                           ChangesFrame, ReaderStatusFrame, BodyFrame, CreditFrame, ClosedFrame,
                           HungFrame, UploadFrame, UploadCreditFrame>;

} // namespace celeryramp::proxy
