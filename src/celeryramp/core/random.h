#pragma once

#include <cstdint>

namespace celeryramp {

/*! @brief Small seeded generator (SplitMix64); one owner at a time. */
class RandomEngine
{
public:
    using result_type = std::uint64_t; // NOLINT(readability-identifier-naming): standard concept

    explicit RandomEngine(std::uint64_t seed) noexcept : m_state{seed} { }

    [[nodiscard]] static constexpr result_type min() noexcept { return 0; }
    [[nodiscard]] static constexpr result_type max() noexcept { return ~result_type{0}; }

    /*! @return The next 64 random bits. */
    result_type operator()() noexcept
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
        return z ^ (z >> 31U);
    }

    /*! @return A number below `bound`; zero when `bound` is zero. */
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) noexcept
    {
        return bound == 0 ? 0 : (*this)() % bound;
    }

    /*! @return A real number in [0, 1). */
    [[nodiscard]] double unit() noexcept
    {
        return static_cast<double>((*this)() >> 11U) * 0x1.0p-53;
    }

private:
    std::uint64_t m_state;
};

} // namespace celeryramp
