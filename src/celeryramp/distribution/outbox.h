#pragma once

#include <string>
#include <utility>
#include <vector>

#include "wire/codec.h"

namespace celeryramp {

/*! @brief Messages that a decision wants sent, in order. */
class Outbox
{
public:
    /*! @brief A message and the server whose node is to get it. */
    using Item = std::pair<std::string, Message>;

    /*! @brief Adds a message. */
    void send(const std::string &server, Message message)
    {
        m_items.emplace_back(server, std::move(message));
    }

    /*! @return All messages added so far; the outbox is empty afterwards. */
    [[nodiscard]] std::vector<Item> take() { return std::exchange(m_items, {}); }

    [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }

private:
    std::vector<Item> m_items;
};

} // namespace celeryramp
