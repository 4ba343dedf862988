#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/address.h"
#include "http/client_connection.h"
#include "restored/probe_result.h"

namespace celeryramp::test {

/*! @brief Caller that sends the same request to one node again and again. */
class Prober
{
public:
    using Ended = std::function<void(ProbeResult)>;

    /*! @param probe Node, route and key of its requests. @param ended Called with each result. */
    Prober(boost::asio::io_context &context, Address node, ProbeResult probe, Ended ended);
    ~Prober();
    Prober(const Prober &) = delete;
    Prober &operator=(const Prober &) = delete;

    /*! @brief Begins to ask. @param delay Time until the first request. */
    void start(Millis delay);
    /*! @brief Later requests belong to the next process of the node. */
    void beginIncarnation();

private:
    void send();
    void onEnd(int incarnation, TimePoint sentAt, int status);

    boost::asio::io_context &m_context;
    Address m_node;
    ProbeResult m_probe;
    Ended m_ended;
    http::ClientConnectionPtr m_connection;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_deadline;
    int m_sent = 0;
    bool m_isOver = false;
};

} // namespace celeryramp::test
