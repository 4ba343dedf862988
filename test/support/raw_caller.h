#pragma once

#include <array>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/address.h"

namespace celeryramp::test {

/*! @brief Caller that sends and receives raw bytes on one connection. */
class RawCaller : public std::enable_shared_from_this<RawCaller>
{
public:
    explicit RawCaller(boost::asio::io_context &context) : m_socket{context} { }

    /*! @brief Connects and starts reading into `received`. @param receiveBuffer Bytes that the
     * operating system keeps; 0 for its default. */
    void connect(const Address &address, int receiveBuffer = 0);
    /*! @brief Sends bytes; blocks until they are handed to the operating system. */
    void send(const std::string &bytes);
    /*! @brief Stops or resumes reading. */
    void setReadingPaused(bool isPaused);
    void close();

    /*! @return Number of occurrences of a text in `received`. */
    [[nodiscard]] int count(const std::string &text) const;

    std::string received;
    bool isEnded = false; /*!< The node closed or reset the connection. */
    bool isReset = false;

private:
    void read();

    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 65536> m_input{};
    bool m_isReading = false;
    bool m_isPaused = false;
};

} // namespace celeryramp::test
