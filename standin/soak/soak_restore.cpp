#include "soak/soak.h"

#include "core/boot_clock.h"
#include "soak/soak_node.h"

namespace standin::soak {

using celeryramp::bootNow;
using celeryramp::Millis;

namespace {

constexpr Millis kTurnsAwayFor{2000};
constexpr Millis kSlowFor{2000};
constexpr Millis kUntilSecondLoss{800};
constexpr Millis kSecondLoss{400};
constexpr Millis kStatusEvery{150}; /*!< Of any server, in the seconds that are lost. */

/*! What is written besides what was lost. */
enum class NewerWrites {
    After, /*!< Fewer than were lost. */
    Between,
    Before /*!< A version at once, then more than were lost, before most nodes ask. */
};

NewerWrites newerWrites(const Fault &fault)
{
    return static_cast<NewerWrites>(fault.target % 3);
}

} // namespace

void Soak::keepCopy(const Fault &fault)
{
    m_copy = m_store->copy();
    m_writer.beginCopy();
    for (auto after = kStatusEvery; after < fault.copyAge; after += kStatusEvery) {
        schedule(after, [this] { publishStatus(); });
    }
}

void Soak::publishStatus()
{
    auto &node = *m_nodes[m_nextStatus++ % m_nodes.size()];
    if (node.serverState == "ready") {
        publishServer(node, "ready");
    }
}

void Soak::loseStore(Millis duration, std::function<void()> returns)
{
    const auto now = bootNow();
    m_observations.disturbances.push_back({kStoreDown, now, now + duration});
    m_isStoreAway = true;
    m_writer.storeLeaves();
    setStoreState({}, duration);
    schedule(duration, std::move(returns));
}

void Soak::restoreStore(const Fault &fault)
{
    const bool isTwice = fault.kind == FaultKind::StoreRestoredTwice;
    loseStore(fault.duration, [this, fault, isTwice] {
        returnStore(fault);
        if (isTwice) {
            schedule(kUntilSecondLoss, [this, fault] {
                loseStore(kSecondLoss, [this, fault] {
                    returnStore(fault);
                    m_writer.endCopy();
                });
            });
        } else {
            m_writer.endCopy();
        }
    });
}

void Soak::returnStore(const Fault &fault)
{
    const auto now = bootNow();
    m_isStoreAway = false;
    const auto lostUntil = m_store->revision();
    m_store->restore(*m_copy);
    m_writer.storeReturns(now);
    StoreState state;
    auto duration = Millis{0};
    if (fault.kind == FaultKind::StoreRestoredForSome) {
        state.turnsSomeAway = true;
        duration = kTurnsAwayFor;
        m_observations.disturbances.push_back({kStorePartial, now, now + duration});
    } else if (fault.kind == FaultKind::StoreRestoredSlow) {
        state.delay = Millis{300};
        duration = kSlowFor;
        m_observations.disturbances.push_back({kStoreDown, now, now + duration});
    }
    setStoreState(state, duration);
    const auto newer = newerWrites(fault);
    const auto nLost = lostUntil - m_store->revision();
    if (newer == NewerWrites::Before) {
        m_operator.publish(now);
        for (std::int64_t i = 0; i < 2 * nLost && m_store->revision() <= lostUntil; ++i) {
            publishStatus();
        }
    }
    const auto n = static_cast<int>(m_writer.waiting());
    for (int i = 1; i <= n; ++i) {
        schedule(fault.rewrite * i / n, [this, newer] {
            m_writer.writeNext(bootNow());
            if (newer == NewerWrites::Between) {
                publishStatus();
            }
        });
    }
    if (newer != NewerWrites::Before) {
        schedule(fault.rewrite + Millis{50}, [this] { m_operator.publish(bootNow()); });
    }
}

} // namespace standin::soak
