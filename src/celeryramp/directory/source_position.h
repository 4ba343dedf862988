#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace celeryramp::directory {

/*! Largest era that is accepted. An era rises by one with each return of the source, so larger ones
 *  are errors. */
inline constexpr std::int64_t kLargestEra = 1'000'000'000;

/*!
 * @brief A state of the source.
 *
 * A source that comes back from a copy has lost its newest revisions, and gives the same numbers to
 * other changes. A revision therefore counts within an era of the source only. All states of an era
 * come after those of the eras before.
 */
struct SourcePosition
{
    std::int64_t era = 0; /*!< Rises each time the source comes back from a copy; 0 if unknown. */
    std::int64_t revision = 0; /*!< Rises with each change; 0 for no state at all. */

    /*! @return The position for logs: the revision, after the era if that is known. */
    [[nodiscard]] std::string text() const
    {
        return (era > 0 ? std::to_string(era) + "/" : std::string{}) + std::to_string(revision);
    }
};

[[nodiscard]] constexpr bool operator==(const SourcePosition &a, const SourcePosition &b) noexcept
{
    return a.era == b.era && a.revision == b.revision;
}

[[nodiscard]] constexpr bool operator!=(const SourcePosition &a, const SourcePosition &b) noexcept
{
    return !(a == b);
}

[[nodiscard]] constexpr bool operator<(const SourcePosition &a, const SourcePosition &b) noexcept
{
    return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
}

[[nodiscard]] constexpr bool operator>(const SourcePosition &a, const SourcePosition &b) noexcept
{
    return b < a;
}

[[nodiscard]] constexpr bool operator<=(const SourcePosition &a, const SourcePosition &b) noexcept
{
    return !(b < a);
}

[[nodiscard]] constexpr bool operator>=(const SourcePosition &a, const SourcePosition &b) noexcept
{
    return !(a < b);
}

/*!
 * @brief Position of a list that was read from the source.
 *
 * Reads are linearizable, so a source that names no eras has come back from a copy if its revision
 * is below one that was known when the list was requested.
 * @param era That the response names, if any.
 * @param known Position of the replica when the list was requested.
 */
[[nodiscard]] constexpr SourcePosition listPosition(const std::optional<std::int64_t> &era,
                                                    std::int64_t revision,
                                                    const SourcePosition &known) noexcept
{
    const bool hasGoneBack = !era && revision < known.revision;
    return {era.value_or(known.era + (hasGoneBack ? 1 : 0)), revision};
}

} // namespace celeryramp::directory
