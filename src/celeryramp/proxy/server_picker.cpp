#include "proxy/server_picker.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::proxy {

namespace internal {

/*! News of a gate's load counts in full when new and not at all after this. */
constexpr Millis kLoadMemory{1000};
/*! Failures fade over this time, so that a server that was bad is tried again. */
constexpr double kBadMemorySeconds = 3.0;
/*! Weight of the newest outcome in the share of failures; about the last 8 calls. */
constexpr double kBadWeight = 0.12;
/*! Time in ms that a server whose calls all fail counts as taking longer; over any real wait. */
constexpr double kBadMillis = 2000.0;
/*! Share of failures above that of the soundest server from which a server is passed over. */
constexpr double kSoundShare = 0.1;
constexpr Millis kForgetAfter{60'000};
/*! Time at a server in ms that is assumed before any told its own. */
constexpr double kUnknownService = 100.0;
/*! Part of the mean time at a server within which three of four calls of a usual spread end. */
constexpr double kUsualShare = 1.2;
/*! Candidates of the own zone, and of all others, that are compared for a call. */
constexpr std::size_t kDraws = 2;
/*! Keeps a mean of nothing from being one. */
constexpr double kLeastWeight = 1e-9;

[[nodiscard]] double freshness(TimePoint heardAt, TimePoint now)
{
    const auto age = static_cast<double>(millisBetween(heardAt, now).count());
    return std::clamp(1.0 - age / kLoadMemory.count(), 0.0, 1.0);
}

} // namespace internal

std::vector<ServerPicker::Entry> ServerPicker::look(gsl::span<const Candidate> candidates,
                                                    TimePoint now) const
{
    std::vector<Entry> entries;
    entries.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        const auto it = m_known.find(candidate.server->id);
        if (it == m_known.end()) {
            entries.push_back({&candidate, nullptr, 0.0});
            continue;
        }
        const auto &known = it->second;
        const double share = std::max(known.badShare, known.load.badPercent / 100.0);
        const double fade
                = std::exp(-secondsBetween(known.heardAt, now) / internal::kBadMemorySeconds);
        entries.push_back({&candidate, &known, share * fade});
    }
    return entries;
}

ServerPicker::Field ServerPicker::summarize(const std::vector<Entry> &entries, TimePoint now)
{
    Field field;
    double told = 0.0;
    double weightNear = 0.0;
    double weightFar = 0.0;
    for (const auto &entry : entries) {
        field.leastBad = std::min(field.leastBad, entry.bad);
        if (entry.known == nullptr || entry.known->load.serviceMillis <= 0) {
            continue;
        }
        const auto &load = entry.known->load;
        told += 1.0;
        field.serviceMillis += load.serviceMillis;
        const double fresh = internal::freshness(entry.known->heardAt, now);
        const bool isNear = entry.candidate->isOwnZone;
        (isNear ? weightNear : weightFar) += fresh;
        (isNear ? field.utilizationNear : field.utilizationFar)
                += fresh * (load.running + load.waiting) / std::max(1, load.slots);
    }
    field.serviceMillis = told > 0.0 ? field.serviceMillis / told : internal::kUnknownService;
    field.utilizationNear /= std::max(weightNear, internal::kLeastWeight);
    field.utilizationFar /= std::max(weightFar, internal::kLeastWeight);
    return field;
}

bool ServerPicker::isSound(const Entry &entry, const Field &field)
{
    return entry.bad <= field.leastBad + internal::kSoundShare;
}

Millis ServerPicker::Estimate::likely() const
{
    return Millis{std::lround(wait + internal::kUsualShare * service)};
}

ServerPicker::Estimate ServerPicker::estimate(const Entry &entry, const Field &field, TimePoint now)
{
    const double slots = std::max(1, entry.candidate->server->slots);
    Estimate estimate;
    estimate.service = field.serviceMillis;
    double occupied
            = slots * (entry.candidate->isOwnZone ? field.utilizationNear : field.utilizationFar);
    if (entry.known != nullptr) {
        const auto &known = *entry.known;
        const double fresh = internal::freshness(known.heardAt, now);
        if (known.load.serviceMillis > 0) {
            estimate.service = known.load.serviceMillis;
        }
        occupied = fresh * (known.load.running + known.load.waiting) + (1.0 - fresh) * occupied;
        occupied = std::max<double>(known.inFlight, occupied);
        estimate.wait = fresh * std::max(0, known.load.coldWaitMillis);
    }
    const double use = std::min(1.0, occupied / slots);
    const double over = std::max(0.0, occupied + 1.0 - slots);
    estimate.wait += over * estimate.service / slots;
    if (!isSound(entry, field)) {
        estimate.wait += entry.bad * internal::kBadMillis;
    }
    // The nearer a server is to its slots, the likelier others fill them before the call arrives.
    estimate.cost = estimate.wait + estimate.service * (1.0 + use * use);
    return estimate;
}

Choice ServerPicker::pick(gsl::span<const Candidate> candidates, const Wanted &wanted,
                          TimePoint now)
{
    const auto entries = look(candidates, now);
    const auto field = summarize(entries, now);
    const auto near = eligible(entries, field, true);
    const bool isNearInTime = std::any_of(near.begin(), near.end(), [&](const Entry *entry) {
        return estimate(*entry, field, now).likely() <= wanted.left;
    });
    if (!near.empty() && (isNearInTime || !wanted.maySpill)) {
        return best(near, field, now);
    }
    const auto far = best(eligible(entries, field, false), field, now);
    const bool isFarInTime = far.server != nullptr && far.likely <= wanted.left;
    return near.empty() || isFarInTime ? far : best(near, field, now);
}

std::vector<const ServerPicker::Entry *> ServerPicker::eligible(const std::vector<Entry> &entries,
                                                                const Field &field, bool isOwnZone)
{
    std::vector<const Entry *> sound;
    std::vector<const Entry *> others;
    for (const auto &entry : entries) {
        if (!entry.candidate->isAsked && entry.candidate->isOwnZone == isOwnZone) {
            (isSound(entry, field) ? sound : others).push_back(&entry);
        }
    }
    return sound.empty() ? others : sound;
}

Choice ServerPicker::best(std::vector<const Entry *> pool, const Field &field, TimePoint now)
{
    Choice choice;
    double least = 0.0;
    for (std::size_t i = 0; i < internal::kDraws && i < pool.size(); ++i) {
        std::swap(pool[i], pool[i + m_random.below(pool.size() - i)]);
        const auto expected = estimate(*pool[i], field, now);
        if (choice.server == nullptr || expected.cost < least) {
            least = expected.cost;
            choice = {pool[i]->candidate->server, expected.likely()};
        }
    }
    return choice;
}

void ServerPicker::onSent(const std::string &serverId)
{
    ++m_known[serverId].inFlight;
}

void ServerPicker::onReply(const std::string &serverId, const GateLoad &load, bool wasGood,
                           TimePoint now)
{
    auto &known = m_known[serverId];
    known.inFlight = std::max(0, known.inFlight - 1);
    known.load = load;
    known.heardAt = now;
    known.badShare += internal::kBadWeight * ((wasGood ? 0.0 : 1.0) - known.badShare);
}

void ServerPicker::onAbandoned(const std::string &serverId)
{
    auto &known = m_known[serverId];
    known.inFlight = std::max(0, known.inFlight - 1);
}

void ServerPicker::onNoReply(const std::string &serverId, TimePoint now)
{
    auto &known = m_known[serverId];
    known.inFlight = std::max(0, known.inFlight - 1);
    known.heardAt = now;
    known.badShare += internal::kBadWeight * (1.0 - known.badShare);
}

void ServerPicker::sweep(TimePoint now)
{
    for (auto it = m_known.begin(); it != m_known.end();) {
        const bool isOld = it->second.inFlight == 0
                && millisBetween(it->second.heardAt, now) > internal::kForgetAfter;
        it = isOld ? m_known.erase(it) : std::next(it);
    }
}

} // namespace celeryramp::proxy
