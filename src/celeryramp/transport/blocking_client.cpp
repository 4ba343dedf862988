#include "transport/blocking_client.h"

#include <algorithm>
#include <limits>

#include <boost/asio/post.hpp>

#include "core/boot_clock.h"

namespace celeryramp {

namespace internal {

/*! A connection is not used this long before the idle timeout that the server announced. */
constexpr Millis kIdleMargin{1000};
/*! Longest wait for events at a time. */
constexpr Millis kLongestWait{1000};

} // namespace internal

BlockingClient::~BlockingClient()
{
    if (m_connection) {
        m_connection->cancel();
    }
}

bool BlockingClient::isReusable() const
{
    if (!m_connection || !m_connection->isFree()) {
        return false;
    }
    const auto announced = m_connection->announcedIdle();
    const auto limit = announced.count() > 0
            ? std::min(m_settings.idleLimit, announced - internal::kIdleMargin)
            : m_settings.idleLimit;
    return millisBetween(m_connection->freeSince(), bootNow()) < limit;
}

Millis BlockingClient::timeLeft(const Patience &patience, TimePoint startedAt, TimePoint now) const
{
    auto left = internal::kLongestWait;
    if (patience.total) {
        left = std::min(left, millisBetween(now, startedAt + *patience.total));
    }
    if (patience.silence) {
        const auto heardAt = std::max(startedAt, m_connection->lastReceivedAt());
        left = std::min(left, millisBetween(now, heardAt + *patience.silence));
    }
    return left;
}

BlockingResult BlockingClient::send(http::Request request, const Patience &patience)
{
    m_context.restart();
    m_context.poll(); // closes a kept connection that the server has closed
    if (!isReusable()) {
        if (m_connection) {
            m_connection->cancel();
        }
        m_connection = std::make_shared<http::ClientConnection>(
                m_context, m_address, m_settings.connectTimeout,
                std::numeric_limits<std::size_t>::max(), [](const http::ClientConnectionPtr &) {});
    }
    request.headers.push_back({"Host", m_address.text()});
    std::optional<BlockingResult> result;
    http::Exchange exchange;
    exchange.wire = http::serialize(request);
    exchange.isHead = request.method == "HEAD";
    exchange.done = [this, &result](http::ExchangeEnd end, http::Answer answer) {
        result = BlockingResult{end, m_connection->answerError(), std::move(answer)};
    };
    const auto startedAt = bootNow();
    m_connection->send(std::move(exchange));
    while (!result) {
        const auto left = timeLeft(patience, startedAt, bootNow());
        if (left.count() <= 0 || m_isAborted) {
            m_connection->cancel();
            break;
        }
        m_context.restart();
        m_context.run_one_for(left);
    }
    return std::move(*result);
}

void BlockingClient::abort()
{
    m_isAborted = true;
    boost::asio::post(m_context, [] {}); // wakes the waiting thread
}

} // namespace celeryramp
