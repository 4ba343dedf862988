#pragma once

#include <string>
#include <utility>
#include <vector>

#include "wire/codec.h"

namespace celeryramp {

/*! @brief Collects outgoing messages in the order in which they are to be sent. */
class Outbox
{
public:
    /*! @brief Name of the destination server and the message. */
    using Item = std::pair<std::string, Message>;

    /*! @brief Appends a message to the node of the given server. */
    void send(const std::string &server, Message message)
    {
        m_items.emplace_back(server, std::move(message));
    }

    /*! @brief Empties the outbox. @return All messages that were in it, in order. */
    [[nodiscard]] std::vector<Item> takeAll() { return std::exchange(m_items, {}); }

    [[nodiscard]] bool empty() const noexcept { return m_items.empty(); }

private:
    std::vector<Item> m_items;
};

} // namespace celeryramp
