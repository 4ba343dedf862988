#include "soak/soak.h"

#include <algorithm>
#include <csignal>

#include "core/boot_clock.h"
#include "names.h"
#include "soak/soak_node.h"

namespace standin::soak {

using celeryramp::bootNow;
using celeryramp::Millis;
using celeryramp::millisBetween;
using celeryramp::TimePoint;
namespace platform = celeryramp::platform;

namespace {

constexpr int kStormVersions = 4;
/*! From the termination signal until shortly before a node without work ends. */
constexpr Millis kBeforeEnd{2400};
constexpr Millis kDrainTime{6000}; /*!< From the report of a leaving server to its removal. */

/*! @return Subject of the disturbance. */
std::string disturbedBy(FaultKind kind, const std::string &node)
{
    switch (kind) {
    case FaultKind::StoreSlow:
    case FaultKind::StoreSilent:
    case FaultKind::StoreBusy:
    case FaultKind::StoreRestored:
    case FaultKind::StoreRestoredTwice:
    case FaultKind::StoreRestoredForSome:
    case FaultKind::StoreRestoredSlow:
        return kStoreDown;
    case FaultKind::StoreCompact:
    case FaultKind::StoreTurnsAway:
        return kStorePartial;
    case FaultKind::AnswerLost:
    case FaultKind::AnswerTwice:
    case FaultKind::AnswerTruncated:
    case FaultKind::AnswerEndless:
    case FaultKind::ServerHangs:
        return kServers;
    default:
        return node;
    }
}

} // namespace

void Soak::begin(const Fault &fault)
{
    auto &node = *m_nodes.at(static_cast<std::size_t>(fault.target) % m_nodes.size());
    const auto now = bootNow();
    if (isUnplanned(fault.kind)) {
        m_observations.disturbances.push_back(
                {disturbedBy(fault.kind, node.name), now, now + fault.duration});
    }
    switch (fault.kind) {
    case FaultKind::NodeKill:
        killNode(node, fault.duration);
        break;
    case FaultKind::NodeKillTwice:
        killNode(node, Millis{50});
        schedule(fault.duration, [this, &node] { killNode(node, Millis{100}); });
        break;
    case FaultKind::NodePause:
        m_processes.signal(node.name, SIGSTOP);
        schedule(fault.duration, [this, &node] { m_processes.signal(node.name, SIGCONT); });
        break;
    case FaultKind::NodeStop:
        stopNode(node);
        break;
    case FaultKind::ServerLeaves:
        publishServer(node, "draining");
        schedule(kDrainTime, [this, id = node.serverId] {
            m_writer.write({std::string{platform::kServerPrefix} + id, std::nullopt, nullptr, id},
                           bootNow());
        });
        replaceServer(node, fault.duration);
        break;
    case FaultKind::ZoneEvacuated:
        evacuate(zoneName(fault.target), fault.duration);
        break;
    case FaultKind::KeyWithdrawn:
        m_processes.signal(node.name, SIGSTOP);
        schedule(fault.duration, [this, &node] { m_processes.signal(node.name, SIGCONT); });
        m_operator.withdrawKey(now);
        break;
    case FaultKind::ConfigChanged:
        m_operator.publish(now);
        break;
    case FaultKind::KeyLost:
        m_operator.withdrawKey(now);
        break;
    case FaultKind::ConfigStorm:
        for (int i = 0; i < kStormVersions; ++i) {
            schedule(fault.duration * i / kStormVersions,
                     [this] { m_operator.publish(bootNow()); });
        }
        break;
    case FaultKind::ZoneSilence:
        silenceZone(zoneName(fault.target), fault.duration);
        break;
    case FaultKind::LateFrames:
        // New links pass, so the next process is heard before what this one has sent.
        node.proxy->setPresentState(LinkState::held());
        stopNode(node);
        schedule(fault.duration, [&node] { node.proxy->setState({}); });
        break;
    case FaultKind::LateUpgrade:
        stopNode(node);
        schedule(kBeforeEnd, [&node] {
            LinkState state;
            state.isOutboundHeld = true;
            node.proxy->setState(state);
            node.proxy->resetAll(); // peers open links again
        });
        schedule(fault.duration, [&node] { node.proxy->setState({}); });
        break;
    case FaultKind::StoreRestored:
    case FaultKind::StoreRestoredTwice:
    case FaultKind::StoreRestoredForSome:
    case FaultKind::StoreRestoredSlow:
        restoreStore(fault);
        break;
    default:
        beginLinkFault(fault, node);
        beginStoreFault(fault);
        beginAnswerFault(fault, node);
    }
}

void Soak::evacuate(const std::string &zone, Millis duration)
{
    const auto key = std::string{platform::kEvacuationPrefix} + zone;
    m_writer.write({key, "{}", &m_observations.evacuated, zone}, bootNow());
    schedule(duration, [this, key, zone] {
        m_writer.write({key, std::nullopt, &m_observations.evacuated, zone, true}, bootNow());
    });
}

void Soak::silenceZone(const std::string &zone, Millis duration)
{
    const auto now = bootNow();
    for (const auto &node : m_nodes) {
        if (node->zone == zone) {
            m_observations.disturbances.push_back({node->name, now, now + duration});
            node->proxy->setState(LinkState::held());
            schedule(duration, [&node = *node] { node.proxy->setState({}); });
        }
    }
}

void Soak::beginLinkFault(const Fault &fault, Node &node)
{
    LinkState state;
    switch (fault.kind) {
    case FaultKind::LinkReset:
        node.proxy->resetAll();
        return;
    case FaultKind::LinkDelay:
        state.delay = Millis{150};
        break;
    case FaultKind::LinkSilence:
        state.isInboundHeld = true;
        state.isOutboundHeld = true;
        break;
    case FaultKind::LinkOneWay:
        state.isInboundHeld = fault.duration.count() % 2 == 0;
        state.isOutboundHeld = !state.isInboundHeld;
        break;
    case FaultKind::LinkDrip:
        state.isDripping = true;
        break;
    default:
        return;
    }
    node.proxy->setState(state);
    schedule(fault.duration, [&node] { node.proxy->setState({}); });
}

void Soak::beginStoreFault(const Fault &fault)
{
    StoreState state;
    switch (fault.kind) {
    case FaultKind::StoreCompact:
        m_store->compact();
        return;
    case FaultKind::StoreSlow:
        state.delay = Millis{300};
        break;
    case FaultKind::StoreSilent:
        state.isSilent = true;
        break;
    case FaultKind::StoreBusy:
        state.isBusy = true;
        break;
    case FaultKind::StoreTurnsAway:
        state.turnsSomeAway = true;
        break;
    default:
        return;
    }
    setStoreState(state, fault.duration);
}

void Soak::setStoreState(StoreState state, Millis duration)
{
    const auto set = [this](StoreState it) {
        it.isAway = m_isStoreAway; // whatever else strikes meanwhile
        m_store->setState(it);
    };
    set(std::move(state));
    schedule(duration, [set] { set({}); });
}

void Soak::beginAnswerFault(const Fault &fault, Node &node)
{
    const auto answerFault = fault.kind == FaultKind::AnswerLost ? AnswerFault::Lost
            : fault.kind == FaultKind::AnswerTwice               ? AnswerFault::Twice
            : fault.kind == FaultKind::AnswerTruncated           ? AnswerFault::Truncated
            : fault.kind == FaultKind::AnswerEndless             ? AnswerFault::Endless
            : fault.kind == FaultKind::ServerHangs               ? AnswerFault::Hangs
                                                                 : AnswerFault::None;
    if (answerFault == AnswerFault::None) {
        return;
    }
    // All servers of a zone, so that there is enough work for the fault to hit.
    for (const auto &it : m_nodes) {
        if (it->zone == node.zone) {
            it->backend->setFault(answerFault);
        }
    }
    schedule(fault.duration, [this, zone = node.zone] {
        for (const auto &it : m_nodes) {
            if (it->zone == zone) {
                it->backend->setFault(AnswerFault::None);
            }
        }
    });
}

void Soak::endIncarnation(const Node &node, TimePoint now)
{
    for (auto &span : m_observations.incarnations) {
        if (span.subject == node.name) {
            span.to = std::min(span.to, now);
        }
    }
}

void Soak::killNode(Node &node, Millis downFor)
{
    const auto now = bootNow();
    m_observations.disturbances.push_back({node.name, now, now + downFor});
    endIncarnation(node, now);
    m_processes.kill(node.name);
    schedule(downFor, [this, &node] {
        if (!m_processes.isRunning(node.name)) {
            startNode(node);
        }
    });
}

void Soak::stopNode(Node &node)
{
    if (node.isStopping || !m_processes.isRunning(node.name)) {
        return;
    }
    node.isStopping = true;
    node.stopBegan = bootNow();
    endIncarnation(node, node.stopBegan);
    m_processes.signal(node.name, SIGTERM);
    awaitStopped(node, node.stopBegan);
}

void Soak::awaitStopped(Node &node, TimePoint since)
{
    schedule(Millis{50}, [this, &node, since] {
        if (!node.isStopping || node.stopBegan != since) {
            return; // it was killed and started meanwhile
        }
        if (!m_processes.isRunning(node.name)) {
            startNode(node);
        } else if (millisBetween(since, bootNow()) > kGrace) {
            killNode(node, Millis{50});
        } else {
            awaitStopped(node, since);
        }
    });
}

} // namespace standin::soak
