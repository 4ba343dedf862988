#include "http/answer_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>

namespace celeryramp::http {

namespace beast = boost::beast::http;

namespace internal {

/*! Largest accepted response header, in bytes. Backend servers send well under 1 KB. */
constexpr std::uint32_t kAnswerHeaderBytes = 32 * 1024;
/*! Largest unparsed rest after the head, in bytes: the size line of a chunk with its extensions, or
 *  the trailer. The parser itself waits for the end of these without a limit. */
constexpr std::size_t kMaxFramingBytes = 16 * 1024;
constexpr std::string_view kLineEnd = "\r\n";
/*! Interim responses that are skipped before a response. */
constexpr int kMaxInterimResponses = 8;

/*! Body type that grows as bytes arrive. Other than `string_body` it reserves nothing for the
 *  announced length, which the server chooses. */
struct GrowingBody
{
    using value_type = std::string; // NOLINT(readability-identifier-naming): required by Beast

    // NOLINTNEXTLINE(readability-identifier-naming): required by Beast
    class reader
    {
    public:
        template <bool isRequest, typename Fields>
        reader(beast::header<isRequest, Fields> & /*head*/, std::string &body) : m_body{body}
        { }

        static void init(const boost::optional<std::uint64_t> & /*length*/,
                         boost::system::error_code &ec)
        {
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &ec)
        {
            ec = {};
            std::size_t n = 0;
            for (const auto &it : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(it.data()), it.size());
                n += it.size();
            }
            return n;
        }

        static void finish(boost::system::error_code &ec) { ec = {}; }

    private:
        std::string &m_body;
    };
};

/*! @return True if the parser undoes all transfer codings of the body. Otherwise the body would be
 * passed on as coded, without the field that says so. */
[[nodiscard]] bool areCodingsUndone(const Headers &headers)
{
    int codings = 0;
    bool areKnown = true;
    for (const auto &[name, value] : headers) {
        if (equalsIgnoreCase(name, "Transfer-Encoding")) {
            forEachListItem(value, [&](std::string_view coding) {
                ++codings;
                areKnown = areKnown
                        && (equalsIgnoreCase(coding, "chunked")
                            || equalsIgnoreCase(coding, "identity"));
            });
        }
    }
    return areKnown && codings <= 1;
}

/*! @return Class of an error of the parser. */
[[nodiscard]] AnswerError classOf(const boost::system::error_code &ec)
{
    if (ec == beast::error::bad_status) {
        return AnswerError::Status;
    }
    if (ec == beast::error::bad_field || ec == beast::error::bad_value
        || ec == beast::error::bad_obs_fold) {
        return AnswerError::Field;
    }
    if (ec == beast::error::header_limit || ec == beast::error::body_limit) {
        return AnswerError::TooLong;
    }
    if (ec == beast::error::bad_content_length || ec == beast::error::bad_transfer_encoding
        || ec == beast::error::bad_chunk || ec == beast::error::bad_chunk_extension
        || ec == beast::error::partial_message) {
        return AnswerError::Framing;
    }
    return AnswerError::Syntax;
}

} // namespace internal

struct AnswerReader::Parser
{
    beast::response_parser<internal::GrowingBody> inner;
    Answer head; /*!< Once it is complete. */
    std::size_t parsedBytes = 0;

    /*! @brief Keeps the head, which is complete. The parser adds the fields of a trailer to it. */
    void takeHead()
    {
        const auto &message = inner.get();
        head.status = static_cast<int>(message.result_int());
        head.reason.assign(message.reason().data(), message.reason().size());
        head.keepsAlive = inner.keep_alive();
        for (const auto &field : message) {
            head.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
        }
    }

    /*! @return Why the head, which is complete, is not that of a response; `None` if it is. */
    [[nodiscard]] AnswerError headError(bool isHead) const
    {
        if (!isServerStatus(head.status)) {
            return AnswerError::Status;
        }
        const bool hasBody = !isHead && mayHaveBody(head.status);
        return hasBody && !internal::areCodingsUndone(head.headers) ? AnswerError::Framing
                                                                    : AnswerError::None;
    }
};

AnswerReader::AnswerReader(std::size_t bodyLimit) : m_bodyLimit{bodyLimit} { }
AnswerReader::~AnswerReader() = default;

void AnswerReader::expect(bool isHead)
{
    m_parser.reset();
    m_state = State::Idle;
    m_error = AnswerError::None;
    m_isHead = isHead;
    m_interimResponses = 0;
}

AnswerReader::State AnswerReader::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    while (!m_buffer.empty() && m_state != State::Done && m_state != State::Bad) {
        if (!m_parser) {
            m_parser = std::make_unique<Parser>();
            m_lineStart = 0;
            m_parser->inner.eager(true);
            m_parser->inner.skip(m_isHead);
            m_parser->inner.header_limit(internal::kAnswerHeaderBytes);
            // No limit is expressed as the largest one: Boost 1.74 rejects bodies with a length if
            // there is none. What is kept of a body is limited below.
            m_parser->inner.body_limit(std::numeric_limits<std::uint64_t>::max());
            m_state = State::Partial;
        }
        boost::system::error_code ec;
        auto &inner = m_parser->inner;
        const bool isInHead = !inner.is_header_done();
        if (isInHead && hasFoldedLine()) {
            return fail(AnswerError::Field);
        }
        // The head is parsed by itself, to be kept before a trailer follows.
        const auto n = inner.put(
                boost::asio::buffer(m_buffer, isInHead ? headBytes() : m_buffer.size()), ec);
        m_buffer.erase(0, n);
        m_parser->parsedBytes += n;
        m_lineStart -= std::min(m_lineStart, n); // the parser takes whole lines of a head
        const bool isIncomplete = ec == beast::error::need_more;
        if (ec && !isIncomplete) {
            return fail(internal::classOf(ec));
        }
        const bool isHeadComplete = isInHead && inner.is_header_done();
        if (isHeadComplete) {
            m_parser->takeHead();
            if (const auto error = m_parser->headError(m_isHead); error != AnswerError::None) {
                return fail(error);
            }
        }
        if (inner.is_header_done() && inner.get().body().size() > m_bodyLimit) {
            return fail(AnswerError::TooLong);
        }
        if (!isIncomplete && inner.is_done()) {
            if (m_parser->head.status / 100 == 1) {
                m_parser.reset();
                m_state = State::Idle;
                if (++m_interimResponses > internal::kMaxInterimResponses) {
                    return fail(AnswerError::TooLong);
                }
                continue;
            }
            m_state = State::Done;
        } else if (!isHeadComplete && (isIncomplete || n == 0)) {
            const auto maxUnparsed = inner.is_header_done() ? internal::kMaxFramingBytes
                                                            : internal::kAnswerHeaderBytes;
            return m_buffer.size() > maxUnparsed ? fail(AnswerError::TooLong) : m_state;
        }
    }
    return m_state;
}

bool AnswerReader::hasFoldedLine()
{
    const std::string_view bytes{m_buffer};
    while (m_lineStart < bytes.size()) {
        const char first = bytes[m_lineStart];
        if (first == ' ' || first == '\t') {
            return true;
        }
        const auto lineEnd = bytes.find(internal::kLineEnd, m_lineStart);
        if (first == '\r' || lineEnd == std::string_view::npos) {
            break; // the end of the head, or more of the line is to come
        }
        m_lineStart = lineEnd + internal::kLineEnd.size();
    }
    return false;
}

std::size_t AnswerReader::headBytes() const
{
    const bool isAtEnd = m_parser->parsedBytes + m_lineStart > 0
            && m_buffer.compare(m_lineStart, internal::kLineEnd.size(), internal::kLineEnd) == 0;
    return isAtEnd ? m_lineStart + internal::kLineEnd.size() : m_buffer.size();
}

AnswerReader::State AnswerReader::fail(AnswerError error)
{
    m_error = error;
    m_state = State::Bad;
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
        if (!ec && m_parser->inner.is_done()) {
            m_state = State::Done;
            return m_state;
        }
    }
    return fail(AnswerError::Framing);
}

bool AnswerReader::hasHead() const noexcept
{
    return m_parser != nullptr && m_state != State::Bad && m_parser->inner.is_header_done()
            && m_parser->head.status / 100 != 1;
}

const Answer &AnswerReader::head() const
{
    return m_parser->head;
}

std::optional<std::uint64_t> AnswerReader::announcedLength() const
{
    const auto length = m_parser->inner.content_length();
    return length ? std::optional<std::uint64_t>{*length} : std::nullopt;
}

std::size_t AnswerReader::bodySize() const
{
    return m_parser->inner.get().body().size();
}

std::string AnswerReader::takeBody()
{
    return std::exchange(m_parser->inner.get().body(), {});
}

Answer AnswerReader::take()
{
    auto answer = std::move(m_parser->head);
    answer.body = takeBody();
    return answer;
}

} // namespace celeryramp::http
