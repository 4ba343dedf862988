#pragma once

#include <atomic>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "core/address.h"
#include "core/time.h"
#include "http/answer_error.h"
#include "http/client_connection.h"

namespace celeryramp {

/*! @brief How a blocking request ended. */
struct BlockingResult
{
    http::ExchangeEnd end = http::ExchangeEnd::NotSent;
    http::AnswerError error = http::AnswerError::None; /*!< Set for `ExchangeEnd::Malformed`. */
    http::Answer answer; /*!< Set for `ExchangeEnd::Answered`. */
};

/*! @brief How long a blocking request may take. */
struct Patience
{
    std::optional<Millis> total; /*!< From the start of the request. */
    std::optional<Millis> silence; /*!< Without any byte of the response. */
};

/*!
 * @brief Sends one request at a time to one server over a kept connection and waits for the
 * response; used by one thread. Responses are read by the strict reader of the `http` module.
 */
class BlockingClient
{
public:
    struct Settings
    {
        Millis connectTimeout{500};
        Millis idleLimit{3000}; /*!< Longest rest of a connection that is used again. */
    };

    BlockingClient(Address address, Settings settings)
        : m_address{std::move(address)}, m_settings{settings}
    { }
    ~BlockingClient();
    BlockingClient(const BlockingClient &) = delete;
    BlockingClient &operator=(const BlockingClient &) = delete;

    /*! @brief Sends a request, with a `Host` field, and waits. A response that does not come in
     * time ends as `ExchangeEnd::Cancelled`. */
    [[nodiscard]] BlockingResult send(http::Request request, const Patience &patience);

    /*! @brief Ends a request under way and all later ones; safe to use from another thread. */
    void abort();

private:
    [[nodiscard]] bool isReusable() const;
    /*! @return Time for which to go on waiting; zero or less if the patience is at its end. */
    [[nodiscard]] Millis timeLeft(const Patience &patience, TimePoint startedAt,
                                  TimePoint now) const;

    Address m_address;
    Settings m_settings;
    boost::asio::io_context m_context;
    http::ClientConnectionPtr m_connection;
    std::atomic<bool> m_isAborted{false};
};

} // namespace celeryramp
