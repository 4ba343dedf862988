#include "http/listener.h"

#include "observe/log.h"

namespace celeryramp::http {

namespace internal {

/*! Length of the accept queue. Many callers reconnect at the same time after a failure. */
constexpr int kBacklog = 1024;

} // namespace internal

Result<void, HttpError> Listener::open(const Address &address)
{
    boost::system::error_code ec;
    const auto host = boost::asio::ip::make_address(address.host, ec);
    const boost::asio::ip::tcp::endpoint endpoint{host, address.port};
    if (!ec) {
        m_acceptor.open(endpoint.protocol(), ec);
    }
    if (!ec) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address{true}, ec);
    }
    if (!ec) {
        m_acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        m_acceptor.listen(internal::kBacklog, ec);
    }
    if (ec) {
        return HttpError{address.text(), ec.message()};
    }
    accept();
    return boost::outcome_v2::success();
}

void Listener::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void Listener::acceptWaitingAndClose()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        boost::asio::ip::tcp::socket socket{m_acceptor.get_executor()};
        m_acceptor.accept(socket, ec);
        if (!ec) {
            m_accepted(std::move(socket));
        }
    }
    if (ec != boost::asio::error::would_block && ec != boost::asio::error::try_again) {
        logEvent(LogLevel::Warn, "listener", "accept-failed", {{"reason", ec.message()}});
    }
    close();
}

void Listener::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &ec,
                                   boost::asio::ip::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            logEvent(LogLevel::Warn, "listener", "accept-failed", {{"reason", ec.message()}});
        } else {
            // Also served if the listener has been closed since it was accepted.
            m_accepted(std::move(socket));
        }
        if (m_acceptor.is_open()) {
            accept();
        }
    });
}

} // namespace celeryramp::http
