#include "http/request_reader.h"

#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace celeryramp::http {

namespace beast = boost::beast::http;

struct RequestReader::Parser
{
    explicit Parser(const RequestLimits &limits)
    {
        inner.eager(true);
        inner.header_limit(static_cast<std::uint32_t>(
                std::min<std::size_t>(limits.headerBytes, std::numeric_limits<int>::max())));
        inner.body_limit(limits.bodyBytes);
    }

    beast::request_parser<beast::string_body> inner;
    bool isHeaderChecked = false;
};

namespace internal {

/*!
 * @return 0 if the header is acceptable, otherwise the HTTP status of the rejection. The target
 * must be a path, `Host` must occur exactly once and the framing of the body must be unambiguous.
 */
[[nodiscard]] int checkHeader(const beast::request<beast::string_body> &message)
{
    if (message.target().empty() || message.target().front() != '/') {
        return 400;
    }
    if (message.count(beast::field::host) != 1) {
        return 400;
    }
    const auto encodings = message.count(beast::field::transfer_encoding);
    if (encodings > 1
        || (encodings == 1
            && (message.version() < 11
                || !equalsIgnoreCase({message[beast::field::transfer_encoding].data(),
                                      message[beast::field::transfer_encoding].size()},
                                     "chunked")))) {
        return 400;
    }
    if (encodings == 1 && message.count(beast::field::content_length) > 0) {
        return 400;
    }
    return 0;
}

[[nodiscard]] int statusOf(const boost::system::error_code &ec)
{
    if (ec == beast::error::header_limit) {
        return 431;
    }
    if (ec == beast::error::body_limit) {
        return 413;
    }
    return 400;
}

} // namespace internal

RequestReader::RequestReader() = default;
RequestReader::~RequestReader() = default;

RequestReader::State RequestReader::feed(std::string_view bytes, const RequestLimits &limits)
{
    m_buffer.append(bytes);
    if (m_state == State::Done || m_state == State::Bad) {
        return m_state;
    }
    while (!m_buffer.empty()) {
        if (!m_parser) {
            m_parser = std::make_unique<Parser>(limits);
            m_state = State::Header;
        }
        auto &inner = m_parser->inner;
        boost::system::error_code ec;
        const auto n = inner.put(boost::asio::buffer(m_buffer), ec);
        m_buffer.erase(0, n);
        if (inner.is_header_done() && !m_parser->isHeaderChecked) {
            m_parser->isHeaderChecked = true;
            if (const int status = internal::checkHeader(inner.get()); status != 0) {
                return fail(status);
            }
            m_state = State::Body;
            const auto expect = inner.get()[beast::field::expect];
            m_expectsContinue = equalsIgnoreCase({expect.data(), expect.size()}, "100-continue");
        }
        if (ec == beast::error::need_more) {
            // An unfinished head, size line of a chunk or trailer; all are bounded alike.
            return m_buffer.size() > limits.headerBytes ? fail(431) : m_state;
        }
        if (ec) {
            return fail(internal::statusOf(ec));
        }
        if (inner.is_done()) {
            m_state = State::Done;
            return m_state;
        }
        if (n == 0) {
            break;
        }
    }
    return m_state;
}

Request RequestReader::take()
{
    auto message = m_parser->inner.release();
    Request request;
    request.method.assign(message.method_string().data(), message.method_string().size());
    request.target.assign(message.target().data(), message.target().size());
    request.keepsAlive = message.keep_alive();
    request.isHttp10 = message.version() < 11;
    for (const auto &field : message) {
        request.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    request.body = std::move(message.body());
    m_parser.reset();
    m_expectsContinue = false;
    m_state = State::Idle;
    return request;
}

std::size_t RequestReader::heldBytes() const
{
    // Announced bodies are reserved whole; others grow by doubling, with a copy meanwhile.
    return m_buffer.size() + (m_parser ? m_parser->inner.get().body().capacity() : 0);
}

bool RequestReader::takeExpectContinue() noexcept
{
    return std::exchange(m_expectsContinue, false) && m_state == State::Body;
}

void RequestReader::refuse(int status)
{
    m_parser.reset();
    m_buffer = {};
    fail(status);
}

RequestReader::State RequestReader::fail(int status) noexcept
{
    m_errorStatus = status;
    m_state = State::Bad;
    return m_state;
}

} // namespace celeryramp::http
