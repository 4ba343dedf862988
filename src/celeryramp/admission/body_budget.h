#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"

namespace celeryramp::admission {

/*!
 * @brief Account of the memory that request bodies hold, over all callers and peers of a node.
 *
 * Each holder may stay within the limits for one request while all together exceed the memory of
 * the process. A body that does not fit is refused, unless an unfinished one can be cut for it:
 * first those without progress, of these the largest; for a short body also the largest that still
 * makes progress. Protected bodies are never cut, as they may be at a server.
 */
class BodyBudget
{
    struct State;

public:
    using HolderId = std::uint64_t;

    /*! @brief Share of the budget of one holder, returned when it is destroyed. */
    class Lease
    {
    public:
        Lease() = default;
        Lease(std::shared_ptr<State> state, HolderId id) : m_state{std::move(state)}, m_id{id} { }
        Lease(Lease &&other) noexcept;
        Lease &operator=(Lease &&other) noexcept;
        Lease(const Lease &) = delete;
        Lease &operator=(const Lease &) = delete;
        ~Lease();

        [[nodiscard]] HolderId id() const noexcept { return m_id; }

    private:
        std::shared_ptr<State> m_state;
        HolderId m_id = 0;
    };

    /*! Time without progress after which an unfinished body is cut before others. */
    static constexpr Millis kStallTime{2000};
    /*! Longest body for which one that makes progress is cut. */
    static constexpr std::size_t kShortBytes = 64 * 1024;

    /*! @param limit Most bytes of all bodies. */
    explicit BodyBudget(std::size_t limit);

    /*! @return A lease of no bytes for a new, unfinished body. */
    [[nodiscard]] Lease open(TimePoint now);
    /*! @brief Sets the bytes of a holder. @return False, without a change, if they do not fit. */
    [[nodiscard]] bool hold(const Lease &lease, std::size_t bytes, TimePoint now);
    /*! @brief Keeps a body from being cut, or no longer: one that is complete, or that would take
     * other requests of its caller with it. */
    void protect(const Lease &lease, bool isProtected);
    /*! @return The holder to cut for `bytes` of this lease; nothing if it has to be refused. */
    [[nodiscard]] std::optional<HolderId> victim(const Lease &lease, std::size_t bytes,
                                                 TimePoint now) const;

    /*! @brief Tells what other purposes hold now; bodies may take the rest. */
    void setOtherBytes(std::size_t bytes) noexcept;
    [[nodiscard]] std::size_t heldBytes() const noexcept;
    [[nodiscard]] std::size_t limit() const noexcept;

private:
    std::shared_ptr<State> m_state; /*!< Leases may outlive the budget. */
};

/*! @brief A request body that calls share, with its share of the budget. */
struct HeldBody
{
    std::string bytes;
    BodyBudget::Lease lease;
};

using HeldBodyPtr = std::shared_ptr<const HeldBody>;

} // namespace celeryramp::admission
