#include "admission/body_budget.h"

#include <algorithm>

namespace celeryramp::admission {

struct BodyBudget::State
{
    struct Holder
    {
        std::size_t bytes = 0;
        TimePoint progressAt;
        bool isProtected = false;
    };

    std::size_t limit = 0;
    std::size_t held = 0;
    std::size_t others = 0;
    HolderId nextId = 1;
    std::map<HolderId, Holder> holders;
};

BodyBudget::Lease::Lease(Lease &&other) noexcept
    : m_state{std::move(other.m_state)}, m_id{other.m_id}
{ }

BodyBudget::Lease &BodyBudget::Lease::operator=(Lease &&other) noexcept
{
    std::swap(m_state, other.m_state);
    std::swap(m_id, other.m_id);
    return *this;
}

BodyBudget::Lease::~Lease()
{
    if (m_state) {
        const auto it = m_state->holders.find(m_id);
        m_state->held -= it->second.bytes;
        m_state->holders.erase(it);
    }
}

BodyBudget::BodyBudget(std::size_t limit) : m_state{std::make_shared<State>()}
{
    m_state->limit = limit;
}

BodyBudget::Lease BodyBudget::open(TimePoint now)
{
    const auto id = m_state->nextId++;
    m_state->holders[id].progressAt = now;
    return {m_state, id};
}

bool BodyBudget::hold(const Lease &lease, std::size_t bytes, TimePoint now)
{
    auto &holder = m_state->holders.at(lease.id());
    const auto others = m_state->held - holder.bytes;
    const auto taken = std::min(m_state->limit, others + m_state->others);
    if (bytes > holder.bytes && bytes > m_state->limit - taken) {
        return false;
    }
    m_state->held = others + bytes;
    holder.bytes = bytes;
    holder.progressAt = now;
    return true;
}

void BodyBudget::protect(const Lease &lease, bool isProtected)
{
    m_state->holders.at(lease.id()).isProtected = isProtected;
}

std::optional<BodyBudget::HolderId> BodyBudget::victim(const Lease &lease, std::size_t bytes,
                                                       TimePoint now) const
{
    std::optional<HolderId> chosen;
    std::pair<bool, std::size_t> most{false, 0};
    for (const auto &[id, holder] : m_state->holders) {
        const bool isStalled = millisBetween(holder.progressAt, now) >= kStallTime;
        const bool mayBeCut = isStalled || (bytes <= kShortBytes && holder.bytes > bytes);
        if (id == lease.id() || holder.isProtected || holder.bytes == 0 || !mayBeCut) {
            continue;
        }
        if (const std::pair rank{isStalled, holder.bytes}; rank > most) {
            most = rank;
            chosen = id;
        }
    }
    return chosen;
}

void BodyBudget::setOtherBytes(std::size_t bytes) noexcept
{
    m_state->others = bytes;
}

std::size_t BodyBudget::heldBytes() const noexcept
{
    return m_state->held;
}

std::size_t BodyBudget::limit() const noexcept
{
    return m_state->limit;
}

} // namespace celeryramp::admission
