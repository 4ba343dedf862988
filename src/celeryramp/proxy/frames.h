#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "directory/replica.h"
#include "http/message.h"
#include "proxy/gate_load.h"
#include "proxy/reason.h"

namespace celeryramp::proxy {

/*! @brief A request handed to the gate of a server. */
struct CallFrame
{
    std::uint64_t id = 0; /*!< Of the sending node; names the call in replies and cancels. */
    std::string requestId;
    std::string serverId; /*!< The start of a server that is meant. */
    std::string service;
    std::string account; /*!< Empty for open routes. */
    std::string callerService;
    Millis deadline{0}; /*!< Left until the caller gives up or the route's timeout. */
    Millis target{0}; /*!< Left until the answer is late; may be negative. */
    int rank = 0; /*!< 0 goes first. */
    bool isNested = false; /*!< Sent by a server that holds a slot meanwhile. */
    bool isIdempotent = false;
    bool mayQueue = true; /*!< False: refuse rather than keep it waiting, others can be asked. */
    http::Request request; /*!< Without fields that concern one connection or identify callers. */
};

/*! @brief How a gate ended a call. */
enum class ReplyKind : std::uint8_t {
    Answer, /*!< The server's whole answer. */
    NotRun, /*!< No server ran it and none will. */
    Failed /*!< It may have run. */
};

/*! @brief A gate's reply to a call. */
struct ReplyFrame
{
    std::uint64_t id = 0;
    ReplyKind kind = ReplyKind::NotRun;
    Reason reason = Reason::None;
    bool reachedServer = false; /*!< The server itself refused; counts as an arrival there. */
    GateLoad load;
    http::Answer answer;
};

/*! @return A reply that says that nothing of the call reached a server. */
[[nodiscard]] inline ReplyFrame notRunReply(std::uint64_t id, Reason reason)
{
    ReplyFrame reply;
    reply.id = id;
    reply.reason = reason;
    return reply;
}

/*! @brief The caller of this call left. */
struct CancelFrame
{
    std::uint64_t id = 0;
};

/*! @brief The node that sends this takes no new calls. */
struct LeavingFrame
{
};

/*! @brief Requests of one account since the last report. */
struct AccountUsage
{
    double admitted = 0.0;
    double demanded = 0.0;
};

/*! @brief Usage of all accounts at one node, or in one zone. */
struct UsageFrame
{
    std::string zone; /*!< Set when the figures are of a whole zone. */
    int heardNodes = 0; /*!< Nodes of the zone that its sender hears, with itself. */
    bool isQuiet = false; /*!< Nobody of the zone asks for anything; it reports seldom. */
    std::int64_t sentAt = 0; /*!< On the clock of the sending node; echoed by the levels. */
    std::map<std::string, AccountUsage> accounts;
};

/*! @brief State of an account's limit over the fleet. */
struct AccountLevel
{
    double level = 0.0; /*!< Requests that may still be admitted; negative when overdrawn. */
    double demand = 0.0; /*!< Requests a second over all nodes that are heard of. */
    double rate = 0.0; /*!< Requests a second that these may admit together. */
};

/*! @brief State of the accounts that are not far below their limits. */
struct LevelsFrame
{
    std::int64_t askedAt = 0; /*!< Of the report this answers, on the clock of its sender. */
    std::int64_t revision = 0; /*!< Of what is published, as the answering node knows it. */
    Millis age{0}; /*!< Of that knowledge. */
    std::map<std::string, AccountLevel> accounts;
};

/*! @brief Asks a peer for what is published after a revision. */
struct SyncRequestFrame
{
    std::int64_t revision = 0;
    std::int64_t askedAt = 0; /*!< On the clock of the asking node; echoed by the reply. */
};

/*! @brief What is published, as a peer knows it. */
struct SyncReplyFrame
{
    std::int64_t revision = 0;
    std::int64_t askedAt = 0; /*!< Of the request, in nanoseconds of the asking node's clock. */
    Millis age{0}; /*!< Of the peer's knowledge when it sent this. */
    std::vector<directory::ItemChange> items; /*!< All keys; values only where newer than asked. */
};

/*! @brief What a reader of the platform has just read, for the nodes of its zone. Without changes
 * it announces news that are too large to be passed on. */
struct NewsFrame
{
    std::int64_t after = 0; /*!< Revision that the changes follow. */
    std::int64_t revision = 0;
    std::vector<directory::ItemChange> changes; /*!< Values as deltas where `bases` says so. */
    std::vector<std::int64_t>
            bases; /*!< For each change the revision its delta is against, or 0. */
};

/*! @brief A request was under way when a server crashed. */
struct SuspectFrame
{
    std::uint64_t digest = 0; /*!< See `requestDigest`. */
    std::string serverId;
    std::uint64_t crash = 0; /*!< Tells crashes of one server apart. */
};

/*! @brief Whether the node that sends this can read the platform. */
struct ReaderFrame
{
    bool canRead = false;
};

using Frame
        = std::variant<CallFrame, ReplyFrame, CancelFrame, LeavingFrame, UsageFrame, LevelsFrame,
                       SyncRequestFrame, SyncReplyFrame, SuspectFrame, NewsFrame, ReaderFrame>;

} // namespace celeryramp::proxy
