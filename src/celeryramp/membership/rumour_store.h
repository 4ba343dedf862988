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
 * @brief Small facts with a highest sequence and a limited life, equal on all nodes in the end.
 * Merging is commutative and idempotent, so order and repetition of messages do not matter.
 */
class RumourStore
{
public:
    /*!
     * @brief Takes a fact in.
     * @return True when it was new: unknown before, or with a higher sequence.
     */
    bool apply(const Rumour &rumour, TimePoint now);

    /*! @brief Forgets facts whose life has ended. */
    void expire(TimePoint now);

    /*! @return Sequence of a fact, or nothing when unknown. */
    [[nodiscard]] std::optional<std::uint64_t> sequence(RumourKind kind,
                                                        const std::string &subject) const;

    /*! @return All facts of one kind whose subject starts with the prefix, with sequences. */
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>>
    withPrefix(RumourKind kind, const std::string &prefix) const;

    /*! @return All facts with their remaining life. */
    [[nodiscard]] std::vector<Rumour> all(TimePoint now) const;

    /*! @return Digest over all facts, equal for equal stores. */
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }

    /*! @return Number of facts. */
    [[nodiscard]] std::size_t size() const noexcept { return m_facts.size(); }

private:
    using Key = std::pair<RumourKind, std::string>;
    struct Fact
    {
        std::uint64_t sequence = 0;
        TimePoint expiresAt;
    };

    [[nodiscard]] static std::uint64_t hashOf(const Key &key, std::uint64_t sequence);

    std::map<Key, Fact> m_facts;
    std::uint64_t m_digest = 0;
};

} // namespace celeryramp
