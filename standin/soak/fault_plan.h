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
    LateFrames /*!< A node is stopped and started while what it has sent is held; likewise. */
};

/*! First seed that also draws the kinds which were added later; the schedules of earlier seeds stay
 * as they were. */
inline constexpr std::uint64_t kLaterSeeds = 10'000;

/*! @brief One fault of a schedule. */
struct Fault
{
    FaultKind kind = FaultKind::LinkDelay;
    celeryramp::Millis at{0}; /*!< After the start of the load. */
    celeryramp::Millis duration{0};
    int target = 0; /*!< Index of a node, server or zone. */
};

[[nodiscard]] const char *faultName(FaultKind kind);
/*! @return False for planned work, around which all promises hold. */
[[nodiscard]] bool isUnplanned(FaultKind kind);

/*! @return The faults of a run, ordered by time; the same ones for the same seed. They overlap,
 * and the same fault can strike twice. */
[[nodiscard]] std::vector<Fault> drawFaults(std::uint64_t seed, int nodes, int zones,
                                            celeryramp::Millis length);

} // namespace standin::soak
