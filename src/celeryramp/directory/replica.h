#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "directory/directory.h"
#include "directory/item_decoder.h"
#include "directory/server_history.h"
#include "directory/source_outage.h"
#include "directory/source_position.h"

namespace celeryramp::directory {

/*! @brief Update or removal of one published item. */
struct ItemChange
{
    std::string key;
    std::string value; /*!< Empty if the item is removed. */
    std::int64_t revision = 0;
    bool isRemoved = false;
    std::int64_t era = 0; /*!< Of the revision, see `SourcePosition`. */

    [[nodiscard]] SourcePosition position() const noexcept { return {era, revision}; }
};

/*! @brief Effect of a change on the replica, for the log. */
struct ReplicaEvent
{
    std::string event;
    std::string subject;
    std::string detail;
};

/*!
 * @brief This node's copy of the published items, with its position in the source and its age.
 *
 * The replica never goes back: states before the held one are ignored, and a configuration replaces
 * only an older version. If the entry of a server expires in an outage of the source, the server
 * stays usable for a grace period, since it may merely have been unable to renew the entry. The
 * node that reads the source decides whether a missing entry may have expired so, and tells its
 * peers.
 *
 * A source that comes back from a copy lacks what it published last, until that is written again.
 * The first list of a new era therefore undoes nothing that the node has acted on: the version of
 * the configuration, draining and removed servers, evacuated zones. Items that the copy lacks are
 * retained at their former position: the configuration until a later version is published, an
 * evacuation for `kRewriteTime`, a server for the grace period.
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
     * @param items An item that is held at the same position needs no value.
     * @param position Of the source when it produced the first page. Of a list before the state of
     * the replica, only a later version of the configuration is used.
     * @param requestedAt When the first page was requested; determines the age of the replica.
     * @param renewalTime `renewalTimeLeft` of the node that has read the items from the source.
     * @return The effects on the replica.
     */
    std::vector<ReplicaEvent> applyList(const std::vector<ItemChange> &items,
                                        const SourcePosition &position, TimePoint requestedAt,
                                        Millis renewalTime, TimePoint now);

    /*!
     * @brief Applies changes to the held items, unless they are of another era. Other parameters
     * and result as for `applyList`.
     * @param requestedAt `TimePoint{}` if unknown; the age of the replica then stays unchanged.
     */
    std::vector<ReplicaEvent> applyChanges(const std::vector<ItemChange> &changes,
                                           const SourcePosition &position, TimePoint requestedAt,
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

    /*! @brief Removes items whose time is over, and uses entries that were held back until now.
     * @return The effects on the replica. */
    std::vector<ReplicaEvent> expire(TimePoint now);

    /*! @return The current snapshot; never null. */
    [[nodiscard]] const DirectoryPtr &view() const noexcept { return m_view; }

    /*! @return State of the source that the replica reflects. */
    [[nodiscard]] const SourcePosition &position() const noexcept { return m_position; }

    /*! @return Latest version of the configuration that was received, also if it is not usable; 0
     * before the first one. */
    [[nodiscard]] std::uint64_t knownVersion() const noexcept { return m_knownVersion; }

    /*! @return True once a complete list has been applied. */
    [[nodiscard]] bool isComplete() const noexcept { return m_isComplete; }

    /*! @return Upper bound of the replica's age; `Millis::max()` before the first list. */
    [[nodiscard]] Millis age(TimePoint now) const;

    /*!
     * @brief Encodes the value of a change as a delta against the held value.
     * @return The change with the delta and the position of the held value. If the delta is not
     * smaller, the unchanged change and the position of no state.
     */
    [[nodiscard]] std::pair<ItemChange, SourcePosition> asDelta(const ItemChange &change) const;
    /*!
     * @brief Restores the full value of a change that `asDelta` encoded.
     * @param base Position that the delta is based on; that of no state if the value is no delta.
     * @return The change with its full value; empty if the base is not held or does not match.
     */
    [[nodiscard]] std::optional<ItemChange> fromDelta(ItemChange change,
                                                      const SourcePosition &base) const;

    /*! Number of replaced values kept for each key. Several readers read at different times and
     *  therefore encode their deltas against different revisions. */
    static constexpr std::size_t kMaxPreviousItems = 3;

    /*! @brief An item for a peer whose replica is behind. */
    struct SyncItem
    {
        ItemChange item; /*!< Without its value if the peer holds it. */
        SourcePosition base; /*!< Position that the value is a delta against, if any. */
    };
    /*! @brief What a peer holds that asks for later items. */
    struct SyncBase
    {
        SourcePosition position; /*!< At which its replica is complete. */
        std::uint64_t version = 0; /*!< `knownVersion` of its replica; 0 if it does not tell. */
        bool takesDeltas = false; /*!< False if it reads whole values only. */
    };
    /*! @return All items, with the values that the peer lacks. */
    [[nodiscard]] std::vector<SyncItem> itemsSince(const SyncBase &peer) const;

    /*! @brief State of a peer, as it answers a request for items since a position. */
    struct PeerState
    {
        SourcePosition position;
        SourcePosition since; /*!< Of the request; older items have no value. */
        std::vector<SyncItem> items;
    };
    /*! @brief Value that can neither be restored nor left out. */
    struct MissingBase
    {
        std::string key;
        SourcePosition base;
    };
    /*! @return The items of a peer for `applyList`, or the first one that needs a value which this
     * replica does not hold. */
    [[nodiscard]] Result<std::vector<ItemChange>, MissingBase>
    restoreItems(const PeerState &peer) const;

    /*! @return True if this state of an item, or a later one, is held. */
    [[nodiscard]] bool holds(const std::string &key, const SourcePosition &position) const;

    /*! Time for which a new era is not taken to contradict what was published before, so that it
     *  can be written again. */
    static constexpr Millis kRewriteTime{10'000};

private:
    struct HeldItem
    {
        std::string value;
        SourcePosition position;
    };
    /*! @brief Entry of a server that an earlier era has removed. */
    struct WithheldServer
    {
        BackendServer server;
        TimePoint until;
    };

    /*! @return The replaced value that was held at a position, or null if it is not kept. */
    [[nodiscard]] const HeldItem *previousAt(const std::string &key,
                                             const SourcePosition &position) const;
    void hold(const std::string &key, std::string value, const SourcePosition &position);
    void applyItem(const ItemChange &change, Millis renewalTime, TimePoint now,
                   std::vector<ReplicaEvent> &events);
    /*! @brief Takes over a version of the configuration from a peer, where the source has lost it.
     */
    void adoptConfiguration(const ItemChange &item, std::vector<ReplicaEvent> &events);
    void applyServer(const std::string &key, BackendServer server, TimePoint now,
                     std::vector<ReplicaEvent> &events);
    /*! @return True if an item of an earlier era is kept although the source lacks it. */
    [[nodiscard]] bool isRetained(const std::string &key) const;
    /*! @brief Handles that the first list of an era lacks an item. */
    void onLostItem(const std::string &key, TimePoint now, std::vector<ReplicaEvent> &events);
    /*! @brief Gives the whole time again, as the source has gone back before it was over. */
    void restartTimes(TimePoint now);
    /*! @brief Limits the time of evacuations that a list has not published in its own era. */
    void retainEvacuations(TimePoint now, std::vector<ReplicaEvent> &events);
    void removeItem(const std::string &key, Millis renewalTime, TimePoint now,
                    std::vector<ReplicaEvent> &events);
    void removeDecoded(const std::string &key, TimePoint now, std::vector<ReplicaEvent> &events);
    void applyConfiguration(const ItemChange &item, Configuration configuration,
                            std::vector<ReplicaEvent> &events);
    void rebuildView();

    const ItemDecoder &m_decoder;
    Millis m_gracePeriod;
    std::map<std::string, HeldItem> m_items;
    std::map<std::string, std::deque<HeldItem>>
            m_previousItems; /*!< Replaced values by key, newest last. */
    std::map<std::string, BackendServer> m_servers; /*!< By item key. */
    ServerHistory m_history;
    std::map<std::string, WithheldServer> m_withheld; /*!< By item key. */
    std::map<std::string, std::string> m_evacuatedZones; /*!< Zone by item key. */
    std::map<std::string, TimePoint> m_lapsedUntil; /*!< When items that are gone are removed. */
    std::shared_ptr<const RoutingTable> m_routing;
    std::string m_configurationKey; /*!< Of the item in force; empty before the first one. */
    std::int64_t m_configurationEra = 0; /*!< That published the item in force last. */
    std::uint64_t m_knownVersion = 0;
    DirectoryPtr m_view = std::make_shared<Directory>();
    SourcePosition m_position;
    TimePoint m_freshAsOf;
    SourceOutage m_outage;
    bool m_isComplete = false;
    bool m_isViewOutdated = false;
};

} // namespace celeryramp::directory
