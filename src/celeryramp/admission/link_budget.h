#pragma once

#include <cstddef>

#include "core/time.h"

namespace celeryramp::admission {

/*!
 * @brief Bytes that wait for the link of a node, by which long answers are admitted.
 *
 * A backend server may have free slots while the link of its host is full. Each admitted answer
 * adds its expected length, which the link works off at its rate; what is left is the time that
 * the next answer waits.
 */
class LinkBudget
{
public:
    /*! @param megabits Rate of the link in Mbit/s; 0 if it is unknown, and nothing waits then. */
    void setRate(double megabits);

    /*! @brief Adds the expected length of an answer that is going to be sent. */
    void reserve(std::size_t bytes, TimePoint now);
    /*! @brief Replaces an expected length by the actual one. */
    void settle(std::size_t reserved, std::size_t actual, TimePoint now);

    /*! @return Time until the link has sent what is reserved. */
    [[nodiscard]] Millis wait(TimePoint now) const;
    /*! @return Time that the link needs for these bytes alone. */
    [[nodiscard]] Millis transfer(std::size_t bytes) const;
    [[nodiscard]] bool isLimited() const noexcept { return m_bytesPerMilli > 0.0; }

private:
    [[nodiscard]] double backlog(TimePoint now) const;

    double m_bytesPerMilli = 0.0;
    double m_backlog = 0.0; /*!< In bytes, at `m_at`. */
    TimePoint m_at;
};

} // namespace celeryramp::admission
