#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/client_connection.h"
#include "soak/soak.h"

namespace standin::soak {

/*! @brief A caller that has one request at a time under way. */
struct Soak::Caller
{
    Caller(boost::asio::io_context &context) : timer{context}, deadline{context} { }

    int node = 0;
    bool isProber = false; /*!< Stays at its node and asks which configuration it uses. */
    int requestsLeft = 0; /*!< Before it moves to another node. */
    celeryramp::http::ClientConnectionPtr connection;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer deadline;
};

} // namespace standin::soak
