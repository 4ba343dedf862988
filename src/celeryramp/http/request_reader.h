#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace celeryramp::http {

/*! @brief Size limits for one request, in bytes. */
struct RequestLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
};

/*!
 * @brief Parses HTTP/1.1 requests incrementally from a byte stream. The parser is strict: ambiguous
 * requests are errors.
 */
class RequestReader
{
public:
    enum class State {
        Idle, /*!< No byte of the next request was parsed. */
        Header, /*!< The header is incomplete. */
        Body, /*!< The header is complete, the body is not. */
        Done, /*!< A complete request is available. */
        Bad /*!< The request is invalid; parsing has stopped. */
    };

    RequestReader();
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /*!
     * @brief Appends bytes and parses them up to the end of the current request. Bytes that follow
     * stay buffered for the next request. Empty `bytes` continue with the buffered ones.
     */
    State feed(std::string_view bytes, const RequestLimits &limits);

    /*! @return The complete request; requires `State::Done`. The next `feed` parses the next one.
     */
    [[nodiscard]] Request take();

    [[nodiscard]] State state() const noexcept { return m_state; }

    /*! @brief Gives the current request up and frees what it holds; the state becomes `Bad`. */
    void refuse(int status);

    /*! @return HTTP status for the response to an invalid request. */
    [[nodiscard]] int errorStatus() const noexcept { return m_errorStatus; }

    /*! @return True, once per request, if the caller waits for `100 Continue` to send its body. */
    [[nodiscard]] bool takeExpectContinue() noexcept;

    /*! @return Bytes that the current request holds or, by its announced length, is going to. */
    [[nodiscard]] std::size_t heldBytes() const;

    /*! @return Number of bytes received but not parsed yet. */
    [[nodiscard]] std::size_t buffered() const noexcept { return m_buffer.size(); }

private:
    struct Parser;

    State fail(int status) noexcept;

    std::unique_ptr<Parser> m_parser;
    std::string m_buffer;
    State m_state = State::Idle;
    int m_errorStatus = 400;
    bool m_expectsContinue = false;
};

} // namespace celeryramp::http
