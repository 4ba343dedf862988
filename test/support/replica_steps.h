#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "directory/replica.h"
#include "support/text_decoder.h"

/*! Items and exchanges of replicas for tests of a source that comes back from a copy. */
namespace celeryramp::test {

constexpr Millis kGracePeriod{1500};
/*! Renewal time when a missing entry means that its server has left. */
constexpr Millis kNoRenewal{0};

[[nodiscard]] inline directory::ItemChange item(std::string key, std::string value,
                                                const directory::SourcePosition &position)
{
    return {std::move(key), std::move(value), position.revision, false, position.era};
}

[[nodiscard]] inline directory::ItemChange removal(std::string key,
                                                   const directory::SourcePosition &position)
{
    return {std::move(key), {}, position.revision, true, position.era};
}

[[nodiscard]] inline directory::ItemChange
version(int number, const directory::SourcePosition &position, const std::string &content = {})
{
    return item("configuration", std::to_string(number) + " " + content, position);
}

[[nodiscard]] inline directory::ItemChange zone(const std::string &name,
                                                const directory::SourcePosition &position)
{
    return item("zone/" + name, {}, position);
}

/*! @brief What a server publishes. */
struct ServerState
{
    int sequence = 1;
    bool isDraining = false;
    int startedMillis = 1000;
};

[[nodiscard]] inline directory::ItemChange server(const std::string &id, const ServerState &state,
                                                  const directory::SourcePosition &position)
{
    return item("server/" + id,
                id + " stock north 10.0.0.1:80 4 " + (state.isDraining ? "draining" : "ready")
                        + " 0 " + std::to_string(state.startedMillis) + " "
                        + std::to_string(state.sequence),
                position);
}

[[nodiscard]] inline bool has(const std::vector<directory::ReplicaEvent> &events,
                              const std::string &event)
{
    return std::any_of(events.begin(), events.end(),
                       [&event](const directory::ReplicaEvent &it) { return it.event == event; });
}

/*! @brief A replica that reads a source and hears of peers. */
struct RestoredReplica
{
    const TextDecoder decoder{};
    directory::Replica replica{decoder, kGracePeriod};
    TimePoint now{std::chrono::hours{1}};

    std::vector<directory::ReplicaEvent> list(const std::vector<directory::ItemChange> &items,
                                              const directory::SourcePosition &position)
    {
        return replica.applyList(items, position, now, kNoRenewal, now);
    }
    std::vector<directory::ReplicaEvent> change(const directory::ItemChange &change)
    {
        return replica.applyChanges({change}, change.position(), now, kNoRenewal, now);
    }
    std::vector<directory::ReplicaEvent> pass(Millis time)
    {
        now += time;
        return replica.expire(now);
    }
    [[nodiscard]] std::uint64_t versionInForce() const
    {
        return replica.view()->routing->version();
    }
    [[nodiscard]] const directory::BackendServer *find(const std::string &id) const
    {
        return replica.view()->findServer(id);
    }
    [[nodiscard]] bool isEvacuated(const std::string &name) const
    {
        return replica.view()->evacuatedZones.count(name) > 0;
    }
};

/*! @brief State that a replica sends to one that is behind. */
struct StateReply
{
    directory::Replica::PeerState state;
    TimePoint confirmedAt;
};

/*! @param isWhole Without deltas and whatever `to` holds. */
[[nodiscard]] inline StateReply stateFor(const directory::Replica &from,
                                         const directory::Replica &to, TimePoint now,
                                         bool isWhole = false)
{
    const auto since = to.isComplete() && !isWhole ? to.position() : directory::SourcePosition{};
    return {{from.position(), since, from.itemsSince({since, to.knownVersion(), !isWhole})},
            now - from.age(now)};
}

/*! @return False if an item can neither be restored nor left out. */
inline bool applyState(directory::Replica &to, const StateReply &reply, TimePoint now)
{
    const auto items = to.restoreItems(reply.state);
    if (items) {
        static_cast<void>(to.applyList(items.value(), reply.state.position, reply.confirmedAt,
                                       kNoRenewal, now));
    }
    return items.has_value();
}

/*! @brief Takes over the state of a peer, at the second attempt as a whole. */
inline void sync(const directory::Replica &from, directory::Replica &to, TimePoint now)
{
    if (!applyState(to, stateFor(from, to, now), now)) {
        static_cast<void>(applyState(to, stateFor(from, to, now, true), now));
    }
}

} // namespace celeryramp::test
