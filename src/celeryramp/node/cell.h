#pragma once

#include <memory>

namespace celeryramp {

/*!
 * @brief Holds an immutable value that one duty replaces and others read.
 * A reader keeps the value it took for as long as it likes.
 */
template <typename T>
class Cell
{
public:
    using Pointer = std::shared_ptr<const T>;

    Cell() = default;
    explicit Cell(Pointer value) : m_value{std::move(value)} { }

    /*! @return The present value; null before the first. */
    [[nodiscard]] Pointer get() const { return std::atomic_load(&m_value); }

    /*! @brief Replaces the value for all later readers. */
    void set(Pointer value) { std::atomic_store(&m_value, std::move(value)); }

private:
    Pointer m_value;
};

} // namespace celeryramp
