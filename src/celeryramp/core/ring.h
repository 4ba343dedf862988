#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief Bounded queue between two duties.
 *
 * A full ring refuses and counts; it never grows and never blocks the producer.
 * @tparam T Movable element type.
 */
template <typename T>
class BoundedRing
{
public:
    /*! @param capacity Number of elements held at most. */
    explicit BoundedRing(std::size_t capacity) : m_capacity{capacity} { }

    /*!
     * @brief Appends one element.
     * @return False when the ring is full or closed; the element is then dropped and counted.
     */
    [[nodiscard]] bool push(T value)
    {
        {
            const std::lock_guard lock{m_mutex};
            if (m_closed || m_items.size() >= m_capacity) {
                ++m_refused;
                return false;
            }
            m_items.push_back(std::move(value));
        }
        m_ready.notify_one();
        return true;
    }

    /*!
     * @brief Takes the oldest element, waiting for one at most as long as told.
     * @return The element, or nothing on timeout or when closed and empty.
     */
    [[nodiscard]] std::optional<T> pop(Millis timeout)
    {
        std::unique_lock lock{m_mutex};
        m_ready.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<T> value{std::move(m_items.front())};
        m_items.pop_front();
        return value;
    }

    /*! @brief Refuses further elements and wakes all waiting consumers. */
    void close()
    {
        {
            const std::lock_guard lock{m_mutex};
            m_closed = true;
        }
        m_ready.notify_all();
    }

    /*! @return Number of refused elements since construction. */
    [[nodiscard]] std::size_t refused() const
    {
        const std::lock_guard lock{m_mutex};
        return m_refused;
    }

    /*! @return Number of elements waiting. */
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock{m_mutex};
        return m_items.size();
    }

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<T> m_items;
    std::size_t m_refused = 0;
    bool m_closed = false;
};

} // namespace celeryramp
