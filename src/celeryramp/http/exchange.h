#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "http/message.h"

namespace celeryramp::http {

/*! @brief Result of a request on a client connection. */
enum class ExchangeEnd {
    Answered, /*!< A complete response to this request was received. */
    NotSent, /*!< Nothing was sent: connecting failed or the request was cancelled before. */
    Lost, /*!< The connection ended before a complete response; the server may have run it. */
    Malformed, /*!< The response is invalid; the server may have run the request. */
    Cancelled /*!< Cancelled after sending began; the server may have run the request. */
};

/*! @brief Relation of a response to the request that waits on its connection. */
enum class AnswerMatch {
    Ours, /*!< It answers the request. */
    Foreign, /*!< It answers an earlier request and is skipped. */
    Invalid /*!< It cannot be used; the exchange ends as `ExchangeEnd::Malformed`. */
};

/*! @brief A request to send, with the handlers for its response. */
struct Exchange
{
    using Done = std::function<void(ExchangeEnd, Answer)>;
    using Match = std::function<AnswerMatch(const Answer &head, bool isReused)>;
    using Head = std::function<void(Answer head, std::optional<std::uint64_t> length)>;

    std::string wire; /*!< The serialized request, or all before its `body`. */
    /*! Rest of the request; it stays valid until all of it was sent. */
    std::shared_ptr<const std::string> body;
    bool isHead = false; /*!< HEAD request: its response has no body. */
    /*! Judges a response by its head. `isReused` tells that the connection has carried requests
     * before. Without it, each response is taken for the own one. */
    Match match;
    /*! Receives the head of a response whose body is longer than `wholeBytes`; `length` is empty if
     * the server does not announce it. The body follows in pieces through `onBytes`, and `done`
     * then gets an answer without body. Without it, responses are passed whole, and one that is
     * longer than the connection's body limit ends the exchange as `ExchangeEnd::Malformed`. */
    Head onHead;
    std::function<void(std::string)> onBytes; /*!< Set together with `onHead`. */
    std::size_t wholeBytes = std::numeric_limits<std::size_t>::max();
    Done done; /*!< Called exactly once, when the exchange ends. */
};

} // namespace celeryramp::http
