#include "http/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace celeryramp::http {

namespace beast = boost::beast::http;

namespace internal {

/*! Largest accepted response header, in bytes. Backend servers send well under 1 KB. */
constexpr std::uint32_t kAnswerHeaderBytes = 32 * 1024;

} // namespace internal

struct AnswerReader::Parser
{
    beast::response_parser<beast::string_body> inner;
};

AnswerReader::AnswerReader(std::size_t bodyLimit) : m_bodyLimit{bodyLimit} { }
AnswerReader::~AnswerReader() = default;

void AnswerReader::expect(bool isHead)
{
    m_parser.reset();
    m_state = State::Idle;
    m_isHead = isHead;
}

AnswerReader::State AnswerReader::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    while (!m_buffer.empty() && m_state != State::Done && m_state != State::Bad) {
        if (!m_parser) {
            m_parser = std::make_unique<Parser>();
            m_parser->inner.eager(true);
            m_parser->inner.skip(m_isHead);
            m_parser->inner.header_limit(internal::kAnswerHeaderBytes);
            m_parser->inner.body_limit(m_bodyLimit);
            m_state = State::Partial;
        }
        boost::system::error_code ec;
        auto &inner = m_parser->inner;
        const auto n = inner.put(boost::asio::buffer(m_buffer), ec);
        m_buffer.erase(0, n);
        if (ec == beast::error::need_more) {
            return m_state;
        }
        if (ec) {
            m_state = State::Bad;
            return m_state;
        }
        if (inner.is_done()) {
            if (inner.get().result_int() / 100 == 1) {
                m_parser.reset();
                m_state = State::Idle;
                continue;
            }
            m_state = State::Done;
        } else if (n == 0) {
            return m_state;
        }
    }
    return m_state;
}

AnswerReader::State AnswerReader::finish()
{
    if (m_state != State::Partial) {
        return m_state;
    }
    boost::system::error_code ec;
    if (m_parser->inner.is_header_done()) {
        m_parser->inner.put_eof(ec);
        m_state = !ec && m_parser->inner.is_done() ? State::Done : State::Bad;
    } else {
        m_state = State::Bad;
    }
    return m_state;
}

Answer AnswerReader::take()
{
    auto message = m_parser->inner.release();
    Answer answer;
    answer.status = static_cast<int>(message.result_int());
    answer.reason.assign(message.reason().data(), message.reason().size());
    answer.keepsAlive = message.keep_alive();
    for (const auto &field : message) {
        answer.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    answer.body = std::move(message.body());
    return answer;
}

} // namespace celeryramp::http
