#include "proxy/server_picker.h"

#include <algorithm>
#include <cmath>

#include "proxy/frames.h"

namespace celeryramp::proxy {

namespace internal {

constexpr double kBytesPerKb = 1024.0;
/*! Weight of the newest body in the time that a server's bodies take to arrive. */
constexpr double kDeliveryWeight = 0.3;
/*! Time constant with which that time is forgotten, so that a server is tried again. */
constexpr double kDeliveryDecaySeconds = 5.0;
/*! Age at which a load report has lost all its weight, which falls linearly from 1. */
constexpr Millis kLoadReportLifetime{1000};
/*! Time constant of the decay of the share of failures, so that a failing server is retried. */
constexpr double kFailureDecaySeconds = 3.0;
/*! Weight of the newest sample in the share of failures, which covers about 8 calls. */
constexpr double kFailureWeight = 0.12;
/*! Wait in ms added for a server whose calls all fail; longer than any real wait. */
constexpr double kFailurePenaltyMillis = 2000.0;
/*! A server is unhealthy if its share of failures exceeds the lowest one by more than this. */
constexpr double kHealthyMargin = 0.1;
constexpr Millis kStateRetention{60'000};
/*! Service time in ms that is assumed before any server has reported its own. */
constexpr double kDefaultServiceMillis = 100.0;
/*! Multiple of the mean service time within which three of four calls end, with a usual
 *  distribution. */
constexpr double kLikelyServiceFactor = 1.2;
/*! A zone is overloaded if more than this share of the weight of its reports says so. */
constexpr double kOverloadedShare = 0.5;
/*! Weight of a report above which it outweighs those of the rest of the zone. */
constexpr double kFreshReport = 0.7;
/*! Randomly drawn candidates that are compared, in the local zone and in all others. */
constexpr std::size_t kSampledCandidates = 2;
/*! Avoids a division by zero if there are no recent load reports. */
constexpr double kMinWeight = 1e-9;

[[nodiscard]] double freshness(TimePoint updatedAt, TimePoint now)
{
    const auto age = static_cast<double>(millisBetween(updatedAt, now).count());
    return std::clamp(1.0 - age / kLoadReportLifetime.count(), 0.0, 1.0);
}

} // namespace internal

std::vector<ServerPicker::Entry> ServerPicker::collectEntries(gsl::span<const Candidate> candidates,
                                                              TimePoint now) const
{
    std::vector<Entry> entries;
    entries.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        const auto stateIt = m_states.find(candidate.server->id);
        if (stateIt == m_states.end()) {
            entries.push_back({&candidate, nullptr, 0.0});
            continue;
        }
        const auto &state = stateIt->second;
        const double rawShare = std::max(state.failureShare, state.load.failurePercent / 100.0);
        const double decay
                = std::exp(-secondsBetween(state.updatedAt, now) / internal::kFailureDecaySeconds);
        entries.push_back({&candidate, &state, rawShare * decay});
    }
    return entries;
}

ServerPicker::PoolSummary ServerPicker::summarize(const std::vector<Entry> &entries, TimePoint now)
{
    PoolSummary summary;
    double reportCount = 0.0;
    double localWeight = 0.0;
    double remoteWeight = 0.0;
    for (const auto &entry : entries) {
        summary.minFailureShare = std::min(summary.minFailureShare, entry.decayedFailureShare);
        if (entry.state == nullptr || entry.state->load.serviceMillis <= 0) {
            continue;
        }
        const auto &load = entry.state->load;
        reportCount += 1.0;
        summary.serviceMillis += load.serviceMillis;
        const double weight = internal::freshness(entry.state->updatedAt, now);
        const bool isLocal = entry.candidate->isLocalZone;
        (isLocal ? localWeight : remoteWeight) += weight;
        (isLocal ? summary.localUtilization : summary.remoteUtilization)
                += weight * (load.running + load.waiting) / std::max(1, load.slots);
    }
    summary.serviceMillis = reportCount > 0.0 ? summary.serviceMillis / reportCount
                                              : internal::kDefaultServiceMillis;
    summary.localUtilization /= std::max(localWeight, internal::kMinWeight);
    summary.remoteUtilization /= std::max(remoteWeight, internal::kMinWeight);
    return summary;
}

std::set<std::string> ServerPicker::findOverloadedZones(const std::vector<Entry> &entries,
                                                        TimePoint now)
{
    std::map<std::string, std::pair<double, double>>
            weights; // of all reports, of those of overload
    for (const auto &entry : entries) {
        if (entry.state != nullptr) {
            auto &[all, overloaded] = weights[entry.candidate->server->zone];
            const double weight = internal::freshness(entry.state->updatedAt, now);
            all += weight;
            overloaded += entry.state->load.isOverloaded ? weight : 0.0;
        }
    }
    std::set<std::string> zones;
    for (const auto &[zone, weight] : weights) {
        if (weight.second > internal::kOverloadedShare * weight.first) {
            zones.insert(zone);
        }
    }
    return zones;
}

bool ServerPicker::isOverloaded(const Entry &entry, const PoolSummary &summary, TimePoint now)
{
    const double weight
            = entry.state != nullptr ? internal::freshness(entry.state->updatedAt, now) : 0.0;
    return weight > internal::kFreshReport
            ? entry.state->load.isOverloaded
            : summary.overloadedZones.count(entry.candidate->server->zone) > 0;
}

bool ServerPicker::isHealthy(const Entry &entry, const PoolSummary &summary)
{
    return entry.decayedFailureShare <= summary.minFailureShare + internal::kHealthyMargin;
}

Millis ServerPicker::Estimate::likelyLatency() const
{
    return Millis{std::lround(wait + internal::kLikelyServiceFactor * service)};
}

ServerPicker::Estimate ServerPicker::estimate(const Entry &entry, const PoolSummary &summary,
                                              TimePoint now)
{
    const double slots = std::max(1, entry.candidate->server->slots);
    Estimate estimate;
    estimate.service = summary.serviceMillis;
    double occupied = slots
            * (entry.candidate->isLocalZone ? summary.localUtilization : summary.remoteUtilization);
    if (entry.state != nullptr) {
        const auto &state = *entry.state;
        const double weight = internal::freshness(state.updatedAt, now);
        if (state.load.serviceMillis > 0) {
            estimate.service = state.load.serviceMillis;
        }
        occupied = weight * (state.load.running + state.load.waiting) + (1.0 - weight) * occupied;
        occupied = std::max<double>(state.inFlight, occupied);
        estimate.wait = weight * std::max(0, state.load.rateWaitMillis);
        const double delivery = summary.answerKb * state.deliveryMillisPerKb
                * std::exp(-secondsBetween(state.deliveredAt, now)
                           / internal::kDeliveryDecaySeconds);
        const double reported = summary.answerKb * internal::kBytesPerKb > kInlineBodyBytes
                ? state.load.linkWaitMillis - 1000.0 * secondsBetween(state.updatedAt, now)
                : 0.0;
        estimate.wait += std::max(delivery, reported);
    }
    const double utilization = std::min(1.0, occupied / slots);
    const double excess = std::max(0.0, occupied + 1.0 - slots);
    estimate.wait += excess * estimate.service / slots;
    if (!isHealthy(entry, summary)) {
        estimate.wait += entry.decayedFailureShare * internal::kFailurePenaltyMillis;
    }
    // The higher the utilization, the likelier other nodes fill the last slots before the call
    // arrives.
    estimate.cost = estimate.wait + estimate.service * (1.0 + utilization * utilization);
    return estimate;
}

Choice ServerPicker::pick(gsl::span<const Candidate> candidates,
                          const PickRequirements &requirements, TimePoint now)
{
    const auto entries = collectEntries(candidates, now);
    auto summary = summarize(entries, now);
    summary.skipsOverloaded = requirements.skipsOverloaded;
    if (summary.skipsOverloaded) {
        summary.overloadedZones = findOverloadedZones(entries, now);
    }
    summary.answerKb = static_cast<double>(requirements.answerBytes) / internal::kBytesPerKb;
    const auto local = eligible(entries, summary, true, now);
    const bool isLocalInTime = std::any_of(local.begin(), local.end(), [&](const Entry *entry) {
        return estimate(*entry, summary, now).likelyLatency() <= requirements.left;
    });
    if (!local.empty() && (isLocalInTime || !requirements.maySpill)) {
        return pickBest(local, summary, now);
    }
    const auto remote = pickBest(eligible(entries, summary, false, now), summary, now);
    const bool isRemoteInTime
            = remote.server != nullptr && remote.likelyLatency <= requirements.left;
    return local.empty() || isRemoteInTime ? remote : pickBest(local, summary, now);
}

std::vector<const ServerPicker::Entry *> ServerPicker::eligible(const std::vector<Entry> &entries,
                                                                const PoolSummary &summary,
                                                                bool isLocalZone, TimePoint now)
{
    std::vector<const Entry *> healthy;
    std::vector<const Entry *> others;
    for (const auto &entry : entries) {
        const bool isSkipped = entry.candidate->isExcluded
                || (summary.skipsOverloaded && isOverloaded(entry, summary, now));
        if (!isSkipped && entry.candidate->isLocalZone == isLocalZone) {
            (isHealthy(entry, summary) ? healthy : others).push_back(&entry);
        }
    }
    return healthy.empty() ? others : healthy;
}

Choice ServerPicker::pickBest(std::vector<const Entry *> pool, const PoolSummary &summary,
                              TimePoint now)
{
    Choice choice;
    double minCost = 0.0;
    for (std::size_t i = 0; i < internal::kSampledCandidates && i < pool.size(); ++i) {
        std::swap(pool[i], pool[i + m_random.below(pool.size() - i)]);
        const auto expected = estimate(*pool[i], summary, now);
        if (choice.server == nullptr || expected.cost < minCost) {
            minCost = expected.cost;
            choice = {pool[i]->candidate->server, expected.likelyLatency()};
        }
    }
    return choice;
}

void ServerPicker::onSent(const std::string &serverId)
{
    ++m_states[serverId].inFlight;
}

void ServerPicker::onReply(const std::string &serverId, const GateLoad &load, bool isSuccess,
                           TimePoint now)
{
    auto &state = m_states[serverId];
    state.inFlight = std::max(0, state.inFlight - 1);
    state.load = load;
    if (load.rateLimit) {
        state.rateLimit = load.rateLimit; // a gate that has restarted does not know it
    }
    state.updatedAt = now;
    state.failureShare += internal::kFailureWeight * ((isSuccess ? 0.0 : 1.0) - state.failureShare);
}

std::optional<double> ServerPicker::rateLimit(const std::string &serverId) const
{
    const auto it = m_states.find(serverId);
    return it == m_states.end() ? std::nullopt : it->second.rateLimit;
}

void ServerPicker::onDelivered(const std::string &serverId, std::uint64_t bytes, Millis spent,
                               TimePoint now)
{
    auto &state = m_states[serverId];
    const double newest = static_cast<double>(spent.count()) * internal::kBytesPerKb
            / static_cast<double>(std::max<std::uint64_t>(bytes, 1));
    state.deliveryMillisPerKb += internal::kDeliveryWeight * (newest - state.deliveryMillisPerKb);
    state.deliveredAt = now;
}

void ServerPicker::onAbandoned(const std::string &serverId)
{
    auto &state = m_states[serverId];
    state.inFlight = std::max(0, state.inFlight - 1);
}

void ServerPicker::onNoReply(const std::string &serverId, TimePoint now)
{
    auto &state = m_states[serverId];
    state.inFlight = std::max(0, state.inFlight - 1);
    state.updatedAt = now;
    state.failureShare += internal::kFailureWeight * (1.0 - state.failureShare);
}

void ServerPicker::sweep(TimePoint now)
{
    for (auto stateIt = m_states.begin(); stateIt != m_states.end();) {
        const bool isExpired = stateIt->second.inFlight == 0
                && millisBetween(stateIt->second.updatedAt, now) > internal::kStateRetention;
        stateIt = isExpired ? m_states.erase(stateIt) : std::next(stateIt);
    }
}

} // namespace celeryramp::proxy
