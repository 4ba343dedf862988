#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "http/message.h"

namespace celeryramp::http {

class CallerConnection;

/*!
 * @brief Handle for the response to one request of a caller. Calls have no effect once the response
 * is complete or the connection is closed.
 */
class ResponseWriter
{
public:
    ResponseWriter() = default;
    ResponseWriter(std::shared_ptr<CallerConnection> connection, std::uint64_t id)
        : m_connection{std::move(connection)}, m_id{id}
    { }

    /*! @brief Sends a whole response. */
    void answer(const Answer &answer) const;
    /*!
     * @brief Sends the head of a response whose body follows in pieces.
     * @param length Length of the body in bytes, if it is known.
     */
    void begin(const Answer &head, std::optional<std::uint64_t> length) const;
    /*! @brief Sends a piece of the body. */
    void append(std::string bytes, bool isLast) const;
    /*! @brief Ends a response that cannot be completed: with `replacement` if nothing of it was
     * sent, otherwise by closing the connection so that it does not look complete. */
    void abort(const Answer &replacement) const;

    [[nodiscard]] const CallerConnection *connection() const noexcept { return m_connection.get(); }
    /*! @return Number of the request on its connection. */
    [[nodiscard]] std::uint64_t id() const noexcept { return m_id; }

private:
    std::shared_ptr<CallerConnection> m_connection;
    std::uint64_t m_id = 0;
};

} // namespace celeryramp::http
