#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief Matches replies to waiting threads by request ID.
 * Replies without a waiter, such as late or duplicate ones, are dropped and counted.
 */
template <typename Reply>
class WaiterTable
{
    struct Slot
    {
        std::mutex mutex;
        std::condition_variable ready;
        std::deque<Reply> replies;
        std::uint64_t tag = 0;
    };

public:
    /*! @brief Registration for the replies to one ID. The destructor removes it. */
    class Ticket
    {
    public:
        Ticket(WaiterTable &table, std::uint64_t id, std::shared_ptr<Slot> slot)
            : m_table{table}, m_id{id}, m_slot{std::move(slot)}
        { }
        ~Ticket() { m_table.drop(m_id); }
        Ticket(const Ticket &) = delete;
        Ticket &operator=(const Ticket &) = delete;

        /*! @return ID of the awaited reply. */
        [[nodiscard]] std::uint64_t id() const noexcept { return m_id; }

        /*! @brief Sets the tag that `completeTagged` selects by. */
        void tag(std::uint64_t tag)
        {
            const std::lock_guard lock{m_slot->mutex};
            m_slot->tag = tag;
        }

        /*! @return The next reply, or nothing when none arrives in time. */
        [[nodiscard]] std::optional<Reply> wait(TimePoint until)
        {
            std::unique_lock lock{m_slot->mutex};
            m_slot->ready.wait_until(lock, until, [this] { return !m_slot->replies.empty(); });
            if (m_slot->replies.empty()) {
                return std::nullopt;
            }
            std::optional<Reply> reply{std::move(m_slot->replies.front())};
            m_slot->replies.pop_front();
            return reply;
        }

    private:
        WaiterTable &m_table;
        std::uint64_t m_id;
        std::shared_ptr<Slot> m_slot;
    };

    /*! @return A ticket with a new ID. */
    [[nodiscard]] Ticket open()
    {
        auto slot = std::make_shared<Slot>();
        const std::lock_guard lock{m_mutex};
        const auto id = ++m_lastId;
        m_slots.emplace(id, slot);
        return Ticket{*this, id, std::move(slot)};
    }

    /*! @brief Delivers a reply. @return False when nobody waits for it. */
    bool complete(std::uint64_t id, Reply reply)
    {
        const auto slot = find(id);
        if (!slot) {
            const std::lock_guard lock{m_mutex};
            ++m_unclaimed;
            return false;
        }
        give(*slot, std::move(reply));
        return true;
    }

    /*! @brief Delivers the same reply to all tickets with this tag. */
    void completeTagged(std::uint64_t tag, const Reply &reply)
    {
        for (const auto &slot : all()) {
            bool matches = false;
            {
                const std::lock_guard lock{slot->mutex};
                matches = slot->tag == tag;
            }
            if (matches) {
                give(*slot, reply);
            }
        }
    }

    /*! @return Number of replies that nobody waited for. */
    [[nodiscard]] std::uint64_t unclaimed() const
    {
        const std::lock_guard lock{m_mutex};
        return m_unclaimed;
    }

private:
    void give(Slot &slot, Reply reply)
    {
        {
            const std::lock_guard lock{slot.mutex};
            slot.replies.push_back(std::move(reply));
        }
        slot.ready.notify_all();
    }

    [[nodiscard]] std::shared_ptr<Slot> find(std::uint64_t id) const
    {
        const std::lock_guard lock{m_mutex};
        const auto it = m_slots.find(id);
        return it == m_slots.end() ? nullptr : it->second;
    }

    [[nodiscard]] std::vector<std::shared_ptr<Slot>> all() const
    {
        const std::lock_guard lock{m_mutex};
        std::vector<std::shared_ptr<Slot>> slots;
        slots.reserve(m_slots.size());
        for (const auto &[id, slot] : m_slots) {
            slots.push_back(slot);
        }
        return slots;
    }

    void drop(std::uint64_t id)
    {
        const std::lock_guard lock{m_mutex};
        m_slots.erase(id);
    }

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, std::shared_ptr<Slot>> m_slots;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_unclaimed = 0;
};

} // namespace celeryramp
