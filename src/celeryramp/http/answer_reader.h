#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "http/message.h"

namespace celeryramp::http {

/*! @brief Parses HTTP/1.1 responses incrementally from a byte stream. */
class AnswerReader
{
public:
    enum class State {
        Idle, /*!< No byte of the current response was parsed. */
        Partial, /*!< The current response is incomplete. */
        Done, /*!< A complete response is available. */
        Bad /*!< The bytes are not a valid response. */
    };

    /*! @param bodyLimit Largest accepted body, in bytes. */
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

    /*!
     * @return The complete response; requires `State::Done`. Call `expect` before parsing the next
     * one.
     */
    [[nodiscard]] Answer take();

    [[nodiscard]] State state() const noexcept { return m_state; }

    /*! @return Number of bytes received but not parsed yet. */
    [[nodiscard]] std::size_t buffered() const noexcept { return m_buffer.size(); }

    /*! @return True if any byte of the current response was parsed. */
    [[nodiscard]] bool hasBegun() const noexcept { return m_state != State::Idle; }

private:
    struct Parser;

    std::size_t m_bodyLimit;
    std::unique_ptr<Parser> m_parser;
    std::string m_buffer;
    State m_state = State::Idle;
    bool m_isHead = false;
};

} // namespace celeryramp::http
