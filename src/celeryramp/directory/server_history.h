#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"
#include "directory/backend_server.h"

namespace celeryramp::directory {

/*! @brief How an entry of a server relates to the last one known. */
enum class EntryAge : std::uint8_t {
    Current, /*!< It is as new or newer. */
    Outdated, /*!< The server has published a later state since. */
    Withdrawn /*!< The entry was removed at this state or a later one. */
};

/*!
 * @brief Last known state of each server, also of those that have left.
 *
 * A source that comes back from a copy lists entries as they were before. Revisions do not tell
 * them from states that were written again, but what the server itself counts does: its start and
 * the sequence of its states.
 */
class ServerHistory
{
public:
    /*! @brief A state of a server is in use. @param era Of the source that published it. */
    void onPublished(const std::string &key, const BackendServer &server, std::int64_t era);
    /*! @brief The entry of a server was removed. @param era Of the source that removed it. */
    void onRemoved(const std::string &key, std::int64_t era, TimePoint now);
    /*! @brief Drops servers that left longer ago than a copy of the source can be old. */
    void expire(TimePoint now);

    /*! @return How an entry relates to what is known. Entries of one era are ordered by their
     * revisions, so that only later eras are compared. */
    [[nodiscard]] EntryAge compare(const std::string &key, const BackendServer &server,
                                   std::int64_t era) const;

private:
    struct Record
    {
        std::uint64_t startedMillis = 0;
        std::uint64_t sequence = 0;
        std::int64_t era = 0;
        bool isRemoved = false;
        TimePoint removedAt;
    };

    std::map<std::string, Record> m_records; /*!< By item key. */
};

} // namespace celeryramp::directory
