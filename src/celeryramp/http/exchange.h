#pragma once

#include <functional>
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

/*! @brief A request to send, with the handlers for its response. */
struct Exchange
{
    using Done = std::function<void(ExchangeEnd, Answer)>;

    std::string wire; /*!< The serialized request. */
    bool isHead = false; /*!< HEAD request: its response has no body. */
    /*! Returns whether a response belongs to this request. Others are skipped. May be empty. */
    std::function<bool(const Answer &)> isOurs;
    Done done; /*!< Called exactly once, when the exchange ends. */
};

} // namespace celeryramp::http
