#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celeryramp::http {

/*! @brief A header field, with the name in its original case. */
struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/*! @brief A complete HTTP request. */
struct Request
{
    std::string method;
    std::string target; /*!< Path and query as received. */
    Headers headers;
    std::string body;
    bool keepsAlive = true;
    bool isHttp10 = false; /*!< Sent by an HTTP/1.0 caller, which cannot read chunks. */
};

/*! @brief A complete HTTP response. */
struct Answer
{
    int status = 0;
    std::string reason; /*!< Reason phrase; if empty, the standard one is sent. */
    Headers headers;
    std::string body;
    bool keepsAlive = true;
};

/*! @return True if the texts are equal apart from letter case. */
[[nodiscard]] bool equalsIgnoreCase(std::string_view a, std::string_view b) noexcept;

/*! @return Value of the first header with this name, or an empty string. */
[[nodiscard]] std::string_view findHeader(const Headers &headers, std::string_view name) noexcept;

/*! @return Host that a request names, in lower case and without port. */
[[nodiscard]] std::string normalizedHost(const Headers &headers);

/*! @brief Calls `visit` with each item of a list of the form `a, b`, without blanks around it. */
template <typename Visit>
void forEachListItem(std::string_view list, Visit visit)
{
    constexpr std::string_view kBlanks = " \t";
    while (!list.empty()) {
        auto item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(item.size() + 1, list.size()));
        item.remove_prefix(std::min(item.find_first_not_of(kBlanks), item.size()));
        item = item.substr(0, item.find_last_not_of(kBlanks) + 1);
        if (!item.empty()) {
            visit(item);
        }
    }
}

/*! @return Number of headers with this name. */
[[nodiscard]] int countHeaders(const Headers &headers, std::string_view name) noexcept;

/*! @brief Removes all headers with this name. */
void eraseHeaders(Headers &headers, std::string_view name);

/*!
 * @brief Removes hop-by-hop headers, including those listed in `Connection`, and the headers that
 * frame the body. `serialize` adds new framing.
 */
void eraseHopByHop(Headers &headers);

/*!
 * @return The request as HTTP/1.1 text. A body, and any POST, PUT or PATCH request, gets a
 * `Content-Length`.
 */
[[nodiscard]] std::string serialize(const Request &request);

/*! @return The bytes of a request before its body. @param bodyBytes Length of the body, which may
 * be held elsewhere. */
[[nodiscard]] std::string serializeHead(const Request &request, std::size_t bodyBytes);

/*!
 * @return The response as HTTP/1.1 text with a `Content-Length`, except for status 204 and 304.
 * @param closes Adds `Connection: close`.
 * @param isBodyOmitted Leaves out the body, as for HEAD requests.
 */
[[nodiscard]] std::string serialize(const Answer &answer, bool closes, bool isBodyOmitted);

/*! @brief How the length of a body that is sent in pieces is expressed. With neither, the end of
 * the connection ends it. */
struct BodyFraming
{
    std::optional<std::uint64_t> length; /*!< Announced with `Content-Length`. */
    bool isChunked = false;
};

/*! @return The head of a response whose body follows. @param closes Adds `Connection: close`. */
[[nodiscard]] std::string serializeHead(const Answer &head, bool closes,
                                        const BodyFraming &framing);

/*! @return The line that precedes a chunk of this many bytes. */
[[nodiscard]] std::string chunkHeader(std::size_t bytes);

/*! @return True if a server can give this status to a request that asks for no other protocol:
 * 100 to 599 (RFC 9110, section 15), except 101. */
[[nodiscard]] constexpr bool isServerStatus(int status) noexcept
{
    constexpr int kFirst = 100;
    constexpr int kSwitchingProtocols = 101;
    constexpr int kLast = 599;
    return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

/*! @return True if a response with this status can have a body. */
[[nodiscard]] constexpr bool mayHaveBody(int status) noexcept
{
    constexpr int kFirstFinal = 200;
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status >= kFirstFinal && status != kNoContent && status != kNotModified;
}

/*! @return The standard reason phrase of a status. */
[[nodiscard]] std::string_view reasonPhrase(int status) noexcept;

} // namespace celeryramp::http
