#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace standin::soak {

/*! @brief What a store holds at one moment, and what it can be restored from. */
struct StoreCopy
{
    struct Item
    {
        std::string value;
        std::int64_t revision = 0; /*!< Of its last change. */
        std::int64_t created = 0; /*!< Revision of its creation. */
    };

    /*! @brief A change of one item. */
    struct Event
    {
        std::string key;
        Item item; /*!< As it was written; of a removed one only the revision. */
        bool isRemoved = false;
    };

    std::map<std::string, Item> items;
    std::deque<Event> events; /*!< History, oldest first. */
    std::int64_t revision = 10;
    std::int64_t compactedAt = 0; /*!< The history begins after this revision. */
};

} // namespace standin::soak
