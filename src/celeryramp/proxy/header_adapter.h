#pragma once

#include <optional>
#include <string>

#include "core/time.h"
#include "directory/service.h"
#include "http/message.h"
#include "proxy/frames.h"
#include "proxy/reason.h"

namespace celeryramp::proxy {

/*! @brief Metadata in the headers of a caller's request. */
struct CallerMetadata
{
    std::string requestId; /*!< Empty if there is none. */
    std::optional<Millis> deadline; /*!< Time that the caller waits for an answer. */
    std::optional<std::string> key; /*!< API key presented. */
    std::string parentId; /*!< Request on whose behalf a server sends this one; empty if its id
                             names none. The sender may be anyone, so it is only a claim. */
};

/*! @brief Metadata in the headers and the status of a server's answer. */
struct AnswerMetadata
{
    std::string requestId; /*!< Request that it answers; empty if not given. */
    std::string serverId; /*!< Server that answered; empty if not given. */
    bool isNotRun = false; /*!< The server did not run the request. */
    bool isSigned = false; /*!< Has the header that only servers of the mesh set. */
    bool isEncoded = false; /*!< The body is in an encoding that nobody asked for. */
    bool isOtherServer = false; /*!< The server at the address is not the intended one. */
    std::optional<double> rateLimit; /*!< Requests per second that the server takes from all nodes
                                        together, for as long as its answers name a limit. */
    bool isLeaving = false; /*!< The server takes no new requests from now on. */
    std::optional<Millis> coldFor; /*!< Remaining time for which the server is cold. */
};

/*! @brief An answer that the node generates itself. */
struct LocalAnswer
{
    int status = 503;
    Reason reason = Reason::None;
    std::string requestId;
    std::optional<Millis> retryAfter;
};

/*! @brief Maps request and answer metadata to the HTTP headers of a deployment. */
class HeaderAdapter
{
public:
    HeaderAdapter() = default;
    HeaderAdapter(const HeaderAdapter &) = delete;
    HeaderAdapter &operator=(const HeaderAdapter &) = delete;
    virtual ~HeaderAdapter() = default;

    [[nodiscard]] virtual CallerMetadata readCaller(const http::Headers &headers) const = 0;
    /*! @brief Removes the headers that only the mesh may send to a server, and the caller's key. */
    virtual void stripCaller(http::Headers &headers) const = 0;
    /*! @return The request for the server. @param left Time left until the deadline. */
    [[nodiscard]] virtual http::Request toServer(const CallFrame &call, Millis left) const = 0;
    [[nodiscard]] virtual AnswerMetadata readAnswer(const http::Answer &answer) const = 0;
    [[nodiscard]] virtual http::Answer localAnswer(const LocalAnswer &answer) const = 0;
    /*! @return A health check request for a server of this service. */
    [[nodiscard]] virtual http::Request healthProbe(const directory::Service &service) const = 0;
};

} // namespace celeryramp::proxy
