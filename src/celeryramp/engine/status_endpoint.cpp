#include "engine/status_endpoint.h"

#include "core/boot_clock.h"
#include "observe/log.h"

namespace celeryramp::engine {

namespace internal {

/*! Time after which an idle connection is closed. */
constexpr Millis kIdleTimeout{30'000};
constexpr Millis kHeaderTimeout{3000};

} // namespace internal

StatusEndpoint::StatusEndpoint(boost::asio::io_context &context, RequestHandler handler)
    : m_handler{std::move(handler)},
      m_listener{context, [this](boost::asio::ip::tcp::socket socket) {
                     auto connection = std::make_shared<http::CallerConnection>(std::move(socket),
                                                                                *this, bootNow());
                     m_connections.insert(connection);
                     connection->start();
                 }}
{ }

Result<void, http::HttpError> StatusEndpoint::open(const Address &address)
{
    return m_listener.open(address);
}

void StatusEndpoint::close()
{
    m_listener.close();
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->close();
    }
}

void StatusEndpoint::sweep(TimePoint now)
{
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->checkTimeouts(internal::kHeaderTimeout, internal::kIdleTimeout, now);
    }
}

void StatusEndpoint::onRequest(http::ResponseWriter response, http::Request request)
{
    response.answer(m_handler(request.target));
}

void StatusEndpoint::onBadRequest(int status)
{
    logEvent(LogLevel::Warn, "status", "request-unreadable", {{"status", std::to_string(status)}});
}

void StatusEndpoint::onClosed(const http::CallerConnectionPtr &connection)
{
    m_connections.erase(connection);
}

} // namespace celeryramp::engine
