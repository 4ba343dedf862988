#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "directory/directory.h"
#include "directory/item_decoder.h"
#include "directory/source_outage.h"

namespace celeryramp::directory {

/*! @brief Update or removal of one published item. */
struct ItemChange
{
    std::string key;
    std::string value; /*!< Empty if the item is removed. */
    std::int64_t revision = 0;
    bool isRemoved = false;
};

/*! @brief Effect of a change on the replica, for the log. */
struct ReplicaEvent
{
    std::string event;
    std::string subject;
    std::string detail;
};

/*!
 * @brief This node's copy of the published items, with its revision and age.
 *
 * The replica never goes back: changes older than the held items are ignored, and a configuration
 * replaces only an older version. If the entry of a server expires in an outage of the source, the
 * server stays usable for a grace period, since it may merely have been unable to renew the entry.
 * The node that reads the source decides whether a missing entry may have expired so, and tells its
 * peers.
 */
class Replica
{
public:
    /*!
     * @param decoder Must outlive the replica.
     * @param gracePeriod Longest use of a server whose entry expired in an outage of the source.
     */
    Replica(const ItemDecoder &decoder, Millis gracePeriod)
        : m_decoder{decoder}, m_gracePeriod{gracePeriod}
    { }

    /*!
     * @brief Applies a complete list; held items that are not in it are removed.
     * @param items An item that is held at the same revision needs no value.
     * @param revision Of the source when it produced the first page. A list older than the replica
     * is ignored.
     * @param requestedAt When the first page was requested; determines the age of the replica.
     * @param renewalTime `renewalTimeLeft` of the node that has read the items from the source.
     * @return The effects on the replica.
     */
    std::vector<ReplicaEvent> applyList(const std::vector<ItemChange> &items, std::int64_t revision,
                                        TimePoint requestedAt, Millis renewalTime, TimePoint now);

    /*!
     * @brief Applies changes to the held items. Other parameters and result as for `applyList`.
     * @param requestedAt `TimePoint{}` if unknown; the age of the replica then stays unchanged.
     */
    std::vector<ReplicaEvent> applyChanges(const std::vector<ItemChange> &changes,
                                           std::int64_t revision, TimePoint requestedAt,
                                           Millis renewalTime, TimePoint now);

    /*! @name Reads of the source by this node. @param requestedAt When the read was requested. */
    /*!@{*/
    void onReadAnswered(TimePoint requestedAt) noexcept { m_outage.onReplicaComplete(requestedAt); }
    void onReadFailed(TimePoint requestedAt) noexcept { m_outage.onReadFailed(requestedAt); }
    /*!@}*/

    /*! @return Time that servers have left to renew entries that expired in the last outage of the
     * source; zero if a missing entry means that its server has left. */
    [[nodiscard]] Millis renewalTimeLeft(TimePoint now) const noexcept
    {
        return m_outage.renewalTimeLeft(now);
    }

    /*! @brief Records that a reader confirmed the replica to be complete at this time. */
    void confirm(TimePoint asOf) noexcept
    {
        m_freshAsOf = std::max(m_freshAsOf, asOf);
        m_outage.onReplicaComplete(asOf);
    }

    /*! @brief Removes servers whose grace period has ended. @return The effects on the replica. */
    std::vector<ReplicaEvent> expire(TimePoint now);

    /*! @return The current snapshot; never null. */
    [[nodiscard]] const DirectoryPtr &view() const noexcept { return m_view; }

    /*! @return Revision of the source that the replica reflects. */
    [[nodiscard]] std::int64_t revision() const noexcept { return m_revision; }

    /*! @return True once a complete list has been applied. */
    [[nodiscard]] bool isComplete() const noexcept { return m_isComplete; }

    /*! @return Upper bound of the replica's age; `Millis::max()` before the first list. */
    [[nodiscard]] Millis age(TimePoint now) const;

    /*!
     * @brief Encodes the value of a change as a delta against the held value.
     * @return The change with the delta and the revision of the held value. If the delta is not
     * smaller, the unchanged change and 0.
     */
    [[nodiscard]] std::pair<ItemChange, std::int64_t> asDelta(const ItemChange &change) const;
    /*!
     * @brief Restores the full value of a change that `asDelta` encoded.
     * @param base Revision that the delta is based on; 0 if the value is not a delta.
     * @return The change with its full value; empty if the base is not held or does not match.
     */
    [[nodiscard]] std::optional<ItemChange> fromDelta(ItemChange change, std::int64_t base) const;

    /*! Number of replaced values kept for each key. Several readers read at different times and
     *  therefore encode their deltas against different revisions. */
    static constexpr std::size_t kMaxPreviousItems = 3;

    /*! @brief An item for a peer whose replica is behind. */
    struct SyncItem
    {
        ItemChange item; /*!< Without its value if the peer holds it. */
        std::int64_t base = 0; /*!< Revision that the value is a delta against, or 0. */
    };
    /*!
     * @return All items, for a peer whose replica was complete at a revision.
     * @param takesDeltas False if the peer reads whole values only.
     */
    [[nodiscard]] std::vector<SyncItem> itemsSince(std::int64_t revision, bool takesDeltas) const;

    /*! @return True if this revision of an item, or a later one, is held. */
    [[nodiscard]] bool holds(const std::string &key, std::int64_t revision) const;

private:
    struct HeldItem
    {
        std::string value;
        std::int64_t revision = 0;
    };

    /*! @return The replaced value that was held at a revision, or null if it is not kept. */
    [[nodiscard]] const HeldItem *previousAt(const std::string &key, std::int64_t revision) const;
    void applyItem(const ItemChange &change, Millis renewalTime, TimePoint now,
                   std::vector<ReplicaEvent> &events);
    void removeItem(const std::string &key, Millis renewalTime, TimePoint now,
                    std::vector<ReplicaEvent> &events);
    void removeDecoded(const std::string &key, std::vector<ReplicaEvent> &events);
    void applyConfiguration(Configuration configuration, std::vector<ReplicaEvent> &events);
    void rebuildView();

    const ItemDecoder &m_decoder;
    Millis m_gracePeriod;
    std::map<std::string, HeldItem> m_items;
    std::map<std::string, std::deque<HeldItem>>
            m_previousItems; /*!< Replaced values by key, newest last. */
    std::map<std::string, BackendServer> m_servers; /*!< By item key. */
    std::map<std::string, std::string> m_evacuatedZones; /*!< Zone by item key. */
    std::map<std::string, TimePoint> m_lapsedUntil; /*!< End of the grace period by item key. */
    std::shared_ptr<const RoutingTable> m_routing;
    DirectoryPtr m_view = std::make_shared<Directory>();
    std::int64_t m_revision = 0;
    TimePoint m_freshAsOf;
    SourceOutage m_outage;
    bool m_isComplete = false;
    bool m_isViewOutdated = false;
};

} // namespace celeryramp::directory
