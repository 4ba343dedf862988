#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/time.h"

namespace standin::soak {

/*! @brief Route of a request, with what the route promises. */
enum class RouteKind { Read, Write, Download };

/*! @brief How a request ended for its caller. */
enum class CallerEnd {
    Open, /*!< It has not ended yet. */
    Answered,
    Closed, /*!< The connection ended without a whole answer. */
    NotConnected,
    Left /*!< The caller closed its connection before the answer. */
};

/*! @brief One request as its caller saw it. */
struct SentRequest
{
    std::string id;
    RouteKind kind = RouteKind::Read;
    std::string account;
    std::string prefix; /*!< Of the route that it is for. */
    std::string key;
    bool isProbe = false; /*!< Asks for the configuration only; it need not be served. */
    int node = 0;
    bool isRevoked = false; /*!< Sent with a key that was withdrawn before. */
    celeryramp::TimePoint keyWithdrawnAt; /*!< If `isRevoked`. */
    celeryramp::TimePoint sentAt;
    celeryramp::TimePoint endedAt;
    celeryramp::Millis deadline{0};
    CallerEnd end = CallerEnd::Open;
    int status = 0;
    bool isSigned = false; /*!< The answer is a server's. */
    bool isRightBody = false;
    std::size_t bodyBytes = 0;
    std::size_t expectedBytes = 0;
};

/*! @brief One execution of a request as the server saw it. */
struct Execution
{
    std::string id;
    std::string server;
    std::string zone;
    std::string account;
    celeryramp::TimePoint at;
    celeryramp::TimePoint endedAt; /*!< The answer was made or its caller left; 0 while it runs. */
    std::string service; /*!< Of the server. */
};

/*! @brief What callers can see of one version of the configuration. */
struct ConfigurationVersion
{
    int number = 0;
    celeryramp::TimePoint sentAt;
    std::map<std::string, std::string> services; /*!< By the prefixes of the routes. */
    std::set<std::string> keys;
};

/*! @brief A span of time in which a promise is suspended or in force. */
struct Span
{
    std::string subject; /*!< Node, server, zone, version or kind of disturbance. */
    celeryramp::TimePoint from;
    celeryramp::TimePoint to;
};

/*! Subjects of disturbances that are not of one node. */
inline constexpr const char *kStoreDown = "store-down"; /*!< Away, slow or loses answers. */
inline constexpr const char *kStorePartial = "store-partial";
inline constexpr const char *kServers = "servers";

[[nodiscard]] inline std::string nodeName(int index)
{
    return "node-" + std::to_string(index);
}

} // namespace standin::soak
