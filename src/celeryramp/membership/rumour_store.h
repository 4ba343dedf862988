#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "wire/control_messages.h"

namespace celeryramp {

/*!
 * @brief Stores the rumour with the highest sequence per kind and subject until its TTL expires.
 *
 * The stores of all nodes are eventually consistent: merging is commutative and idempotent, so
 * messages may be reordered or repeated.
 */
class RumourStore
{
public:
    /*!
     * @brief Merges a rumour into the store. Its TTL is limited to one hour.
     * @return True if the rumour was unknown or has a higher sequence than the stored one. False
     * otherwise, and for an unknown rumour whose TTL is zero or that exceeds the limit of 65536
     * entries.
     */
    bool apply(const Rumour &rumour, TimePoint now);

    /*! @brief Removes rumours whose TTL has expired. */
    void expire(TimePoint now);

    /*! @return Sequence of a rumour, or `std::nullopt` if it is unknown. */
    [[nodiscard]] std::optional<std::uint64_t> sequence(RumourKind kind,
                                                        const std::string &subject) const;

    /*! @return Subject and sequence of all rumours of a kind whose subject has the prefix. */
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>>
    withPrefix(RumourKind kind, const std::string &prefix) const;

    /*! @return All rumours that have not expired, with their remaining TTL in milliseconds. */
    [[nodiscard]] std::vector<Rumour> all(TimePoint now) const;

    /*! @return Digest over all rumours without their TTLs; equal for equal contents. */
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }

    /*! @return Number of rumours. */
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    using Key = std::pair<RumourKind, std::string>;
    struct Entry
    {
        std::uint64_t sequence = 0;
        TimePoint expiresAt;
    };

    [[nodiscard]] static std::uint64_t hashOf(const Key &key, std::uint64_t sequence);

    std::map<Key, Entry> m_entries;
    std::uint64_t m_digest = 0;
};

} // namespace celeryramp
