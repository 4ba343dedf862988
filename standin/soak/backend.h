#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/address.h"
#include "core/random.h"
#include "core/time.h"
#include "http/listener.h"
#include "http/message.h"
#include "soak/records.h"

namespace standin::soak {

/*! @brief How a backend treats the answers of part of its requests. */
enum class AnswerFault { None, Lost, Twice, Truncated, Endless, Hangs };

/*! @return The body that belongs to a request. */
[[nodiscard]] std::string bodyOf(const std::string &requestId, std::size_t size);

/*! @brief Backend server that reports what it executes and can misbehave. */
class Backend
{
public:
    /*! Called when an execution begins and again, with `endedAt`, when it ends. */
    using Executed = std::function<void(const Execution &)>;

    Backend(boost::asio::io_context &context, const celeryramp::Address &address, std::string zone,
            std::uint64_t seed, Executed executed);

    /*! @brief Begins a new incarnation, which other ids are refused by. */
    void setId(std::string id) { m_id = std::move(id); }
    void setFault(AnswerFault fault) { m_fault = fault; }

private:
    struct Connection;

    void read(const std::shared_ptr<Connection> &connection);
    void handle(const std::shared_ptr<Connection> &connection,
                const celeryramp::http::Request &request);
    void send(const std::shared_ptr<Connection> &connection, std::string bytes, bool closes);
    void write(const std::shared_ptr<Connection> &connection);
    void sendEndless(const std::shared_ptr<Connection> &connection);

    boost::asio::io_context &m_context;
    std::string m_id;
    std::string m_zone;
    celeryramp::RandomEngine m_random;
    Executed m_executed;
    AnswerFault m_fault = AnswerFault::None;
    celeryramp::http::Listener m_listener;
};

} // namespace standin::soak
