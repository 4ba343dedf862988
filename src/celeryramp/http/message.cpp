#include "http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include <ostream> // missing in the next header of Boost 1.74

#include <boost/beast/http/status.hpp>

namespace celeryramp::http {

namespace internal {

/*! Headers that apply to one connection only or describe the framing of the body. */
constexpr std::array<std::string_view, 10> kHopByHop{"Connection",
                                                     "Keep-Alive",
                                                     "Proxy-Connection",
                                                     "TE",
                                                     "Trailer",
                                                     "Upgrade",
                                                     "Expect",
                                                     "Transfer-Encoding",
                                                     "Proxy-Authorization",
                                                     "Content-Length"};

/*! Methods whose requests get a `Content-Length` even if the body is empty. */
constexpr std::array<std::string_view, 3> kBodyMethods{"POST", "PUT", "PATCH"};

[[nodiscard]] char toLower(char c) noexcept
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

void append(std::string &out, const Headers &headers)
{
    for (const auto &[name, value] : headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
}

} // namespace internal

bool equalsIgnoreCase(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return internal::toLower(x) == internal::toLower(y);
           });
}

std::string_view findHeader(const Headers &headers, std::string_view name) noexcept
{
    for (const auto &header : headers) {
        if (equalsIgnoreCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

std::string normalizedHost(const Headers &headers)
{
    const auto header = findHeader(headers, "Host");
    auto host = std::string{header.substr(0, header.rfind(':'))};
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

int countHeaders(const Headers &headers, std::string_view name) noexcept
{
    return static_cast<int>(std::count_if(headers.begin(), headers.end(), [name](const Header &it) {
        return equalsIgnoreCase(it.name, name);
    }));
}

void eraseHeaders(Headers &headers, std::string_view name)
{
    headers.erase(
            std::remove_if(headers.begin(), headers.end(),
                           [name](const Header &it) { return equalsIgnoreCase(it.name, name); }),
            headers.end());
}

void eraseHopByHop(Headers &headers)
{
    std::vector<std::string> connectionOptions;
    for (const auto &header : headers) {
        if (!equalsIgnoreCase(header.name, "Connection")) {
            continue;
        }
        forEachListItem(header.value, [&connectionOptions](std::string_view option) {
            connectionOptions.emplace_back(option);
        });
    }
    for (const auto name : internal::kHopByHop) {
        eraseHeaders(headers, name);
    }
    for (const auto &name : connectionOptions) {
        eraseHeaders(headers, name);
    }
}

std::string serialize(const Request &request)
{
    return serializeHead(request, request.body.size()).append(request.body);
}

std::string serializeHead(const Request &request, std::size_t bodyBytes)
{
    std::string out;
    out.reserve(512 + request.body.size());
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    internal::append(out, request.headers);
    const bool hasLength = bodyBytes > 0
            || std::find(internal::kBodyMethods.begin(), internal::kBodyMethods.end(),
                         request.method)
                    != internal::kBodyMethods.end();
    if (hasLength) {
        out.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    }
    return out.append("\r\n");
}

std::string serialize(const Answer &answer, bool closes, bool isBodyOmitted)
{
    const bool isBodiless = !mayHaveBody(answer.status);
    const auto length
            = isBodiless ? std::nullopt : std::optional<std::uint64_t>{answer.body.size()};
    auto out = serializeHead(answer, closes, {length, false});
    if (!isBodiless && !isBodyOmitted) {
        out.append(answer.body);
    }
    return out;
}

std::string serializeHead(const Answer &head, bool closes, const BodyFraming &framing)
{
    std::string out;
    out.reserve(512 + head.body.size());
    out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    out.append(head.reason.empty() ? reasonPhrase(head.status) : head.reason);
    out.append("\r\n");
    internal::append(out, head.headers);
    if (framing.length) {
        out.append("Content-Length: ").append(std::to_string(*framing.length)).append("\r\n");
    }
    if (framing.isChunked) {
        out.append("Transfer-Encoding: chunked\r\n");
    }
    if (closes) {
        out.append("Connection: close\r\n");
    }
    out.append("\r\n");
    return out;
}

std::string chunkHeader(std::size_t bytes)
{
    std::array<char, 16> text{};
    const auto [end, ec] = std::to_chars(text.data(), text.data() + text.size(), bytes, 16);
    static_cast<void>(ec); // 16 digits hold any size
    return std::string{text.data(), end} + "\r\n";
}

std::string_view reasonPhrase(int status) noexcept
{
    const auto text
            = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {text.data(), text.size()};
}

} // namespace celeryramp::http
