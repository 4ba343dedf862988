#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace standin::soak {

/*! @brief Faults that are injected from outside of the nodes. */
enum class FaultKind {
    LinkDelay,
    LinkReset,
    LinkSilence,
    LinkOneWay,
    LinkDrip,
    NodeKill,
    NodePause,
    NodeStop, /*!< Planned: a termination signal, then a start. */
    NodeKillTwice, /*!< Killed again while it starts. */
    StoreSlow,
    StoreSilent,
    StoreBusy,
    StoreCompact, /*!< Forgets its history. */
    StoreTurnsAway, /*!< Serves some nodes only. */
    AnswerLost,
    AnswerTwice,
    AnswerTruncated,
    AnswerEndless,
    ServerHangs,
    ServerLeaves, /*!< Planned: drains and is replaced later. */
    ZoneEvacuated, /*!< Planned. */
    KeyWithdrawn, /*!< Planned; a node is paused meanwhile for longer than the bound. */
    ConfigChanged, /*!< Planned. */
    ZoneSilence, /*!< All links to the nodes of a zone are held; from `kLaterSeeds` on. */
    LateFrames, /*!< A node is stopped and started while what it has sent is held; likewise. */
    StoreRestored, /*!< Away, then back from a copy; from `kRestoredStoreSeeds` on. */
    StoreRestoredTwice, /*!< It goes back to the copy once more. */
    StoreRestoredForSome, /*!< It turns some nodes away after its return. */
    StoreRestoredSlow, /*!< It is slow after its return. */
    KeyLost, /*!< Planned; a key is withdrawn in seconds that the store loses. */
    ConfigStorm, /*!< Planned; several versions in quick succession. */
    LateUpgrade /*!< A node is stopped and started; peers open their links to the former process
                   again, and what that sends at the end is late. From `kLateUpgradeSeeds` on. */
};

/*! First seed that also draws the kinds which were added later; the schedules of earlier seeds stay
 * as they were. */
inline constexpr std::uint64_t kLaterSeeds = 10'000;
/*! First seed whose store comes back from copies. */
inline constexpr std::uint64_t kRestoredStoreSeeds = 20'000;

/*! First seed in which peers hear the successor of a node before the upgrade response of the former
 * process. */
inline constexpr std::uint64_t kLateUpgradeSeeds = 80'000;

/*! @brief One fault of a schedule. */
struct Fault
{
    FaultKind kind = FaultKind::LinkDelay;
    celeryramp::Millis at{0}; /*!< After the start of the load. */
    celeryramp::Millis duration{0};
    int target = 0; /*!< Index of a node, server or zone. */
    celeryramp::Millis copyAge{0}; /*!< Age of the copy when the store goes away. */
    celeryramp::Millis rewrite{0}; /*!< From the return until all that was lost is written again. */
};

[[nodiscard]] const char *faultName(FaultKind kind);
/*! @return False for planned work, around which all promises hold. */
[[nodiscard]] bool isUnplanned(FaultKind kind);
[[nodiscard]] bool restoresStore(FaultKind kind);
/*! @return When a fault is over, with all that follows from it. */
[[nodiscard]] celeryramp::Millis endOf(const Fault &fault);

/*! @return The faults of a run, ordered by time; the same ones for the same seed. They overlap,
 * and the same fault can strike twice. */
[[nodiscard]] std::vector<Fault> drawFaults(std::uint64_t seed, int nodes, int zones,
                                            celeryramp::Millis length);

} // namespace standin::soak
