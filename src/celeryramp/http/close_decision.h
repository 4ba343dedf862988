#pragma once

#include <cstdint>

namespace celeryramp::http {

/*!
 * @brief Decides which response closes a connection, and until when requests are taken from it.
 *
 * The last request that was passed on is the one whose response closes, since those behind it count
 * as unread. No more requests are taken only once that response is certain to announce the close:
 * if its head was written before, the connection goes on with the next request.
 *
 * The ids of requests grow in the order in which they were passed on.
 */
class CloseDecision
{
public:
    /*! @brief The owner wants the connection to close with a response that has not begun yet. */
    void requestClose() noexcept { m_isCloseRequested = true; }

    /*! @brief A request was passed on. @param keepsAlive False if its response has to close. */
    void onRequest(std::uint64_t id, bool keepsAlive) noexcept
    {
        m_lastId = id;
        m_isLastAnswered = false;
        m_takesRequests = m_takesRequests && keepsAlive;
    }

    /*!
     * @brief The head of a response is about to be written, in any order of the requests.
     * @param endsByClose True if the end of the connection ends its body; nothing may have been
     * passed on behind its request.
     * @return True if the response closes the connection, and announces it.
     */
    [[nodiscard]] bool onResponse(std::uint64_t id, bool endsByClose) noexcept
    {
        const bool isLast = id == m_lastId;
        const bool canAnnounce = isLast || !m_isLastAnswered;
        if (endsByClose || (m_isCloseRequested && canAnnounce)) {
            m_takesRequests = false;
        }
        m_isLastAnswered = m_isLastAnswered || isLast;
        return isLast && !m_takesRequests;
    }

    /*! @return False once the last request is known. What follows it counts as unread. */
    [[nodiscard]] bool takesRequests() const noexcept { return m_takesRequests; }

private:
    std::uint64_t m_lastId = 0;
    bool m_isLastAnswered = false; /*!< Its head is written, so it can announce nothing more. */
    bool m_isCloseRequested = false;
    bool m_takesRequests = true;
};

} // namespace celeryramp::http
