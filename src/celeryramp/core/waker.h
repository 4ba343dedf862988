#pragma once

#include <condition_variable>
#include <mutex>
#include <utility>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief A sleep that others can end. A wake that comes before the sleep is not lost: it ends the
 * next one at once.
 */
class Waker
{
public:
    /*! @brief Sleeps at most as long as told. @return True when woken. */
    bool sleep(Millis timeout)
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait_for(lock, timeout, [this] { return m_woken || m_stopped; });
        return std::exchange(m_woken, false) || m_stopped;
    }

    /*! @brief Ends the present or the next sleep. */
    void wake()
    {
        {
            const std::lock_guard lock{m_mutex};
            m_woken = true;
        }
        m_changed.notify_all();
    }

    /*! @brief Ends the present and all later sleeps. */
    void stop()
    {
        {
            const std::lock_guard lock{m_mutex};
            m_stopped = true;
        }
        m_changed.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;
    bool m_stopped = false;
};

} // namespace celeryramp
