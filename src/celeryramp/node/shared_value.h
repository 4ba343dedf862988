#pragma once

#include <memory>

namespace celeryramp {

/*!
 * @brief Holds an immutable value that one thread replaces and others read.
 * Readers share ownership, so that a value stays valid after it is replaced.
 */
template <typename T>
class SharedValue
{
public:
    using Pointer = std::shared_ptr<const T>;

    SharedValue() = default;
    explicit SharedValue(Pointer value) : m_value{std::move(value)} { }

    /*! @return The current value; null before the first. */
    [[nodiscard]] Pointer get() const { return std::atomic_load(&m_value); }

    /*! @brief Replaces the value for all later readers. */
    void set(Pointer value) { std::atomic_store(&m_value, std::move(value)); }

private:
    Pointer m_value;
};

} // namespace celeryramp
