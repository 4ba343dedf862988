#pragma once

#include <atomic>
#include <cstdint>

namespace celeryramp {

/*! @brief A number that only rises; safe to use from several threads. */
class Counter
{
public:
    /*! @brief Adds to the number. */
    void add(std::uint64_t n = 1) noexcept { m_value.fetch_add(n, std::memory_order_relaxed); }

    /*! @return The number. */
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

} // namespace celeryramp
