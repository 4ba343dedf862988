#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/answer_error.h"
#include "http/message.h"

namespace celeryramp::http {

/*!
 * @brief Parses HTTP/1.1 responses incrementally from a byte stream.
 *
 * Fields of a trailer are not kept: they come after what the head decides.
 *
 * Its memory is bounded for any input: by the limits of the head and of the framing of chunks, and
 * by the body limit unless the body is taken in pieces.
 */
class AnswerReader
{
public:
    enum class State {
        Idle, /*!< No byte of the current response was parsed. */
        Partial, /*!< The current response is incomplete. */
        Done, /*!< A complete response is available. */
        Bad /*!< The bytes are not a valid response. */
    };

    /*! @param bodyLimit Largest body that is kept, in bytes; what was taken does not count. */
    explicit AnswerReader(std::size_t bodyLimit);
    ~AnswerReader();
    AnswerReader(const AnswerReader &) = delete;
    AnswerReader &operator=(const AnswerReader &) = delete;

    /*!
     * @brief Discards the current response and prepares for the next one. Unparsed bytes are kept.
     * @param isHead True if the request uses the HEAD method, so that the response has no body.
     */
    void expect(bool isHead);

    /*!
     * @brief Appends bytes and parses them up to the end of the current response. Interim (1xx)
     * responses are skipped.
     */
    State feed(std::string_view bytes);

    /*! @brief Handles an orderly end of the stream, which completes a response without a length. */
    State finish();

    /*! @return True if the head of the current response is complete. */
    [[nodiscard]] bool hasHead() const noexcept;
    /*! @return The current response without its body; requires `hasHead`. */
    [[nodiscard]] const Answer &head() const;
    /*! @return The announced length of the body, in bytes; requires `hasHead`. */
    [[nodiscard]] std::optional<std::uint64_t> announcedLength() const;
    /*! @return Size of the body parsed so far and not taken, in bytes; requires `hasHead`. */
    [[nodiscard]] std::size_t bodySize() const;
    /*! @return The body parsed so far, which is removed; requires `hasHead`. */
    [[nodiscard]] std::string takeBody();

    /*!
     * @return The complete response; requires `State::Done`. Call `expect` before parsing the next
     * one.
     */
    [[nodiscard]] Answer take();

    [[nodiscard]] State state() const noexcept { return m_state; }
    /*! @return Why the bytes are no response; `None` unless the state is `Bad`. */
    [[nodiscard]] AnswerError error() const noexcept { return m_error; }

    /*! @return Number of bytes received but not parsed yet. */
    [[nodiscard]] std::size_t buffered() const noexcept { return m_buffer.size(); }

private:
    struct Parser;

    /*!
     * @return True if a line of the head that is being received begins with a blank. The parser
     * would take it for a part of the line before, a form of long values that servers must not send
     * any more (RFC 9112, section 5.2); here it is a field whose name begins with a blank.
     */
    [[nodiscard]] bool hasFoldedLine();
    /*! @return Unparsed bytes up to the end of the head, or all if it is not known; requires that
     * `hasFoldedLine` found none. */
    [[nodiscard]] std::size_t headBytes() const;
    /*! @brief Gives up the current response. */
    State fail(AnswerError error);

    std::size_t m_bodyLimit;
    std::unique_ptr<Parser> m_parser;
    std::string m_buffer;
    std::size_t m_lineStart = 0; /*!< First line of the unparsed head that was not checked. */
    State m_state = State::Idle;
    AnswerError m_error = AnswerError::None;
    bool m_isHead = false;
    int m_interimResponses = 0; /*!< Skipped since `expect`. */
};

} // namespace celeryramp::http
