#include "soak/fault_plan.h"

#include <algorithm>
#include <array>

#include "core/random.h"

namespace standin::soak {

namespace {

using celeryramp::Millis;

struct KindInfo
{
    const char *name;
    bool isUnplanned;
    int minMillis;
    int maxMillis;
};

constexpr std::array<KindInfo, 32> kKinds{{{"link-delay", true, 500, 3000},
                                           {"link-reset", true, 0, 0},
                                           {"link-silence", true, 300, 4000},
                                           {"link-one-way", true, 300, 3000},
                                           {"link-drip", true, 500, 2500},
                                           {"node-kill", true, 100, 1500},
                                           {"node-pause", true, 100, 3000},
                                           {"node-stop", false, 0, 0},
                                           {"node-kill-twice", true, 60, 300},
                                           {"store-slow", true, 1000, 4000},
                                           {"store-silent", true, 1000, 5000},
                                           {"store-busy", true, 1000, 5000},
                                           {"store-compact", true, 0, 0},
                                           {"store-turns-away", true, 2000, 7000},
                                           {"answer-lost", true, 500, 3000},
                                           {"answer-twice", true, 500, 3000},
                                           {"answer-truncated", true, 500, 3000},
                                           {"answer-endless", true, 300, 1500},
                                           {"server-hangs", true, 500, 2500},
                                           {"server-leaves", false, 12'000, 14'000},
                                           {"zone-evacuated", false, 12'000, 14'000},
                                           {"key-withdrawn", true, 6500, 7500},
                                           {"config-changed", false, 0, 0},
                                           {"zone-silence", true, 1000, 5000},
                                           {"late-frames", true, 3000, 7000},
                                           {"store-restored", true, 300, 1000},
                                           {"store-restored-twice", true, 300, 1000},
                                           {"store-restored-for-some", true, 300, 1000},
                                           {"store-restored-slow", true, 300, 1000},
                                           {"key-lost", false, 0, 0},
                                           {"config-storm", false, 500, 500},
                                           {"late-upgrade", true, 2800, 3600}}};

/*! Copies that the store comes back from, and how soon all is written again. */
constexpr int kMinCopyAge = 1000;
constexpr int kMaxCopyAge = 6000;
constexpr int kMinRewrite = 200;
constexpr int kMaxRewrite = 3000;
/*! Longest time for what follows a return: a second one, or slow answers. */
constexpr Millis kAftermath{2500};

const KindInfo &infoOf(FaultKind kind)
{
    return kKinds.at(static_cast<std::size_t>(kind));
}

} // namespace

const char *faultName(FaultKind kind)
{
    return infoOf(kind).name;
}

bool isUnplanned(FaultKind kind)
{
    return infoOf(kind).isUnplanned;
}

bool restoresStore(FaultKind kind)
{
    return kind >= FaultKind::StoreRestored && kind <= FaultKind::StoreRestoredSlow;
}

Millis endOf(const Fault &fault)
{
    return fault.at + fault.duration + fault.rewrite
            + (restoresStore(fault.kind) ? kAftermath : Millis{0});
}

std::vector<Fault> drawFaults(std::uint64_t seed, int nodes, int zones, Millis length)
{
    celeryramp::RandomEngine random{seed};
    const auto below = [&random](int n) {
        return static_cast<int>(random.below(static_cast<std::uint64_t>(n)));
    };
    std::vector<Fault> faults;
    const auto add = [&](FaultKind kind, Millis at) {
        const auto &info = infoOf(kind);
        const Millis duration{info.minMillis + below(info.maxMillis - info.minMillis + 1)};
        const int target = kind == FaultKind::ZoneEvacuated || kind == FaultKind::ZoneSilence
                ? below(zones)
                : below(nodes);
        faults.push_back({kind, at, duration, target});
    };
    // Some runs have planned work only in their first part, so that its promises are checked
    // without an allowance.
    const Millis calm{below(2) == 0 ? 0 : 8000};
    add(FaultKind::NodeStop, Millis{500 + below(1500)});
    add(FaultKind::NodeStop, Millis{2500 + below(2000)});
    add(FaultKind::ConfigChanged, Millis{below(6000)});
    if (below(2) == 0) {
        add(FaultKind::ServerLeaves, Millis{below(3000)});
    } else {
        add(FaultKind::ZoneEvacuated, Millis{below(3000)});
    }
    add(FaultKind::KeyWithdrawn, calm + Millis{below(2000)});
    const int n = 6 + below(8);
    for (int i = 0; i < n; ++i) {
        const auto kind = static_cast<FaultKind>(below(static_cast<int>(FaultKind::ServerLeaves)));
        const auto at = calm + Millis{below(static_cast<int>((length - calm).count()))};
        add(kind, at);
        if (below(4) == 0) {
            add(kind, at + Millis{below(1500)});
        }
    }
    if (seed >= kLaterSeeds) {
        for (const auto kind : {FaultKind::ZoneSilence, FaultKind::LateFrames}) {
            add(kind, calm + Millis{below(static_cast<int>((length - calm).count()))});
        }
    }
    if (seed >= kLateUpgradeSeeds) {
        for (int i = 0; i < 3; ++i) {
            add(FaultKind::LateUpgrade, Millis{500 + below(static_cast<int>(length.count()))});
        }
    }
    if (seed >= kRestoredStoreSeeds) {
        const auto between = [&below](int from, int to) { return from + below(to - from + 1); };
        // The second copy is taken after all that follows from the first return.
        Millis former{0};
        for (const Millis from : {Millis{4000}, Millis{1500}}) {
            const auto kind = static_cast<FaultKind>(
                    between(static_cast<int>(FaultKind::StoreRestored),
                            static_cast<int>(FaultKind::StoreRestoredSlow)));
            add(kind, former + from + Millis{below(3000)});
            auto &fault = faults.back();
            fault.copyAge = std::min(Millis{between(kMinCopyAge, kMaxCopyAge)}, fault.at - former);
            fault.rewrite = Millis{between(kMinRewrite, kMaxRewrite)};
            former = endOf(fault);
            const auto at = fault.at;
            const auto copyAge = static_cast<int>(fault.copyAge.count());
            const auto back = at + fault.duration;
            for (int i = below(3); i >= 0; --i) {
                add(FaultKind::ConfigChanged, at - Millis{below(copyAge)});
            }
            if (below(2) == 0) {
                add(FaultKind::KeyLost, at - Millis{below(copyAge)});
            }
            if (below(2) == 0) {
                add(FaultKind::ConfigStorm, back + Millis{below(4000)});
            }
        }
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return faults;
}

} // namespace standin::soak
