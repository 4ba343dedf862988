#include "support/raw_caller.h"

#include <boost/asio/write.hpp>

namespace celeryramp::test {

void RawCaller::connect(const Address &address, int receiveBuffer)
{
    m_socket.open(boost::asio::ip::tcp::v4());
    if (receiveBuffer > 0) {
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size{receiveBuffer});
    }
    m_socket.connect({boost::asio::ip::make_address(address.host), address.port});
    read();
}

void RawCaller::send(const std::string &bytes)
{
    boost::asio::write(m_socket, boost::asio::buffer(bytes));
}

void RawCaller::setReadingPaused(bool isPaused)
{
    m_isPaused = isPaused;
    read();
}

void RawCaller::read()
{
    if (m_isReading || m_isPaused || isEnded) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(
            boost::asio::buffer(m_input),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                self->m_isReading = false;
                self->received.append(self->m_input.data(), n);
                if (ec) {
                    self->isEnded = true;
                    self->isReset = ec != boost::asio::error::eof;
                    return;
                }
                self->read();
            });
}

void RawCaller::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

int RawCaller::count(const std::string &text) const
{
    int n = 0;
    for (auto at = received.find(text); at != std::string::npos;
         at = received.find(text, at + text.size())) {
        ++n;
    }
    return n;
}

} // namespace celeryramp::test
