#include "limits/token_cache.h"

#include <algorithm>
#include <cmath>

#include "limits/account_share.h"

namespace celeryramp {

namespace internal {

constexpr double kDemandWindowSeconds = 1.0;
constexpr double kMinRequestLevel = 0.2 * double(kMicroTokensPerCall);
constexpr std::size_t kMaxRequestsPerCall = 8;
constexpr double kPrefetchSeconds = 0.05; // Prefetched tokens cover this time at current demand.
constexpr double kMaxPrefetchShare = 0.25; // Fraction of a minter's bucket capacity.
constexpr Millis kRequestTimeout{500};
constexpr Millis kUnreachablePause{1000};

} // namespace internal

void TokenCache::onSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    m_snapshot = std::move(snapshot);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const auto *account = m_snapshot->findAccount(it->first);
        if (account == nullptr) {
            it = m_entries.erase(it);
            continue;
        }
        resetEstimates(it->second, *account, now);
        ++it;
    }
}

AdmissionResult TokenCache::admit(const ClientAccount &account,
                                  std::vector<std::string> &triedMinters, TimePoint now)
{
    if (!m_snapshot) {
        return {};
    }
    expireRequests(now);
    auto &entry = entryOf(account, now);
    dropExpiredCredits(entry, now);
    if (triedMinters.empty()) {
        updateDemand(entry, now);
    }
    if (const auto available = totalCredits(entry); available >= kMicroTokensPerCall) {
        debit(entry, kMicroTokensPerCall);
        AdmissionResult result{Admission::Admitted, std::nullopt};
        const auto prefetchTarget = entry.demandPerSecond * internal::kPrefetchSeconds;
        const auto remaining = double(available) / double(kMicroTokensPerCall) - 1.0;
        if (prefetchTarget >= 1.0 && remaining < prefetchTarget / 2.0
            && entry.requestsInFlight == 0) {
            if (auto *minter = chooseMinter(entry, {}, now);
                minter != nullptr && minter->level >= double(kMicroTokensPerCall)) {
                result.request = requestTokens(entry, account, *minter, false, now);
            }
        }
        return result;
    }
    auto *minter = chooseMinter(entry, triedMinters, now);
    if (minter == nullptr) {
        return {Admission::Refused, std::nullopt};
    }
    triedMinters.push_back(minter->name);
    return {Admission::Wait, requestTokens(entry, account, *minter, true, now)};
}

void TokenCache::onGrant(std::uint64_t id, const Grant &grant, TimePoint now)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return;
    }
    const auto pending = std::move(it->second);
    m_pending.erase(it);
    const auto entry = m_entries.find(pending.request.account);
    if (entry == m_entries.end()) {
        return;
    }
    --entry->second.requestsInFlight;
    for (auto &minter : entry->second.minters) {
        if (minter.name == pending.request.minter) {
            minter.level = double(grant.left);
            minter.updatedAt = now;
            minter.blockedUntil = now;
        }
    }
    const auto expiresAt = pending.requestedAt + std::min(pending.lifetime, grant.lifetime);
    if (grant.granted <= 0 || expiresAt <= now) {
        return;
    }
    auto &credits = entry->second.credits;
    const auto position = std::upper_bound(
            credits.begin(), credits.end(), expiresAt,
            [](TimePoint at, const Credit &credit) { return at < credit.expiresAt; });
    credits.insert(position, Credit{std::min(grant.granted, pending.request.amount), expiresAt});
}

std::string TokenCache::onUnreachable(std::uint64_t id, TimePoint now)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return {};
    }
    const auto pending = std::move(it->second);
    m_pending.erase(it);
    if (const auto entry = m_entries.find(pending.request.account); entry != m_entries.end()) {
        --entry->second.requestsInFlight;
        for (auto &minter : entry->second.minters) {
            if (minter.name == pending.request.minter) {
                minter.blockedUntil = now + internal::kUnreachablePause;
            }
        }
    }
    return pending.request.account;
}

MicroTokens TokenCache::balance(const std::string &account, TimePoint now)
{
    const auto it = m_entries.find(account);
    if (it == m_entries.end()) {
        return 0;
    }
    dropExpiredCredits(it->second, now);
    return totalCredits(it->second);
}

TokenCache::AccountEntry &TokenCache::entryOf(const ClientAccount &account, TimePoint now)
{
    const auto [it, added] = m_entries.try_emplace(account.name);
    if (added) {
        it->second.lastCall = now;
        resetEstimates(it->second, account, now);
    }
    return it->second;
}

void TokenCache::resetEstimates(AccountEntry &entry, const ClientAccount &account,
                                TimePoint now) const
{
    entry.minters.clear();
    for (const auto &zone : mintingZones(*m_snapshot)) {
        for (const auto &name : mintersOf(*m_snapshot, account, zone)) {
            const auto share = shareOf(*m_snapshot, account, name);
            entry.minters.push_back({name, zone == m_zone, double(share.capacity),
                                     double(share.capacity), share.ratePerSecond, now, now});
        }
    }
}

void TokenCache::updateDemand(AccountEntry &entry, TimePoint now)
{
    const auto elapsed = std::max(0.0, secondsBetween(entry.lastCall, now));
    entry.demandPerSecond *= std::exp(-elapsed / internal::kDemandWindowSeconds);
    entry.demandPerSecond += 1.0 / internal::kDemandWindowSeconds;
    entry.lastCall = now;
}

void TokenCache::dropExpiredCredits(AccountEntry &entry, TimePoint now)
{
    while (!entry.credits.empty() && entry.credits.front().expiresAt <= now) {
        entry.credits.pop_front();
    }
}

MicroTokens TokenCache::totalCredits(const AccountEntry &entry)
{
    MicroTokens sum = 0;
    for (const auto &credit : entry.credits) {
        sum += credit.amount;
    }
    return sum;
}

void TokenCache::debit(AccountEntry &entry, MicroTokens amount)
{
    while (amount > 0) {
        auto &first = entry.credits.front();
        const auto part = std::min(first.amount, amount);
        first.amount -= part;
        amount -= part;
        if (first.amount == 0) {
            entry.credits.pop_front();
        }
    }
}

TokenCache::MinterEstimate *TokenCache::chooseMinter(AccountEntry &entry,
                                                     const std::vector<std::string> &triedMinters,
                                                     TimePoint now) const
{
    MinterEstimate *best = nullptr;
    auto availableTokens = double(totalCredits(entry));
    const auto better = [](const MinterEstimate &a, const MinterEstimate &b) {
        const bool aPreferred = a.sameZone && a.level >= double(kMicroTokensPerCall);
        const bool bPreferred = b.sameZone && b.level >= double(kMicroTokensPerCall);
        return aPreferred != bPreferred ? aPreferred : a.level > b.level;
    };
    for (auto &minter : entry.minters) {
        if (now > minter.updatedAt) {
            const auto minted = minter.ratePerSecond * secondsBetween(minter.updatedAt, now);
            minter.level = std::min(minter.capacity, minter.level + minted);
            minter.updatedAt = now;
        }
        const bool isTried = std::find(triedMinters.begin(), triedMinters.end(), minter.name)
                != triedMinters.end();
        if (isTried || minter.blockedUntil > now) {
            continue;
        }
        availableTokens += minter.level;
        if (best == nullptr || better(minter, *best)) {
            best = &minter;
        }
    }
    // Estimated levels are upper bounds: other nodes may have taken tokens since, and the estimates
    // already include everything that was minted.
    const bool isRefused = best == nullptr || best->level < internal::kMinRequestLevel
            || availableTokens < double(kMicroTokensPerCall)
            || triedMinters.size() >= internal::kMaxRequestsPerCall;
    return isRefused ? nullptr : best;
}

TokenRequest TokenCache::requestTokens(AccountEntry &entry, const ClientAccount &account,
                                       MinterEstimate &minter, bool isWaiting, TimePoint now)
{
    const auto price = double(kMicroTokensPerCall);
    const auto prefetchAmount = std::min(entry.demandPerSecond * internal::kPrefetchSeconds * price,
                                         minter.capacity * internal::kMaxPrefetchShare);
    const auto prefetchCalls = std::floor(std::max(0.0, prefetchAmount) / price);
    const auto calls = std::max(1.0, prefetchCalls + (isWaiting ? 1.0 : 0.0));
    const auto amount = static_cast<MicroTokens>(calls * price);
    TokenRequest request{++m_lastId, minter.name, account.name, amount};
    minter.level = std::max(0.0, minter.level - double(amount));
    ++entry.requestsInFlight;
    m_pending.emplace(request.id, PendingRequest{request, now, grantLifetime(account)});
    return request;
}

void TokenCache::expireRequests(TimePoint now)
{
    while (!m_pending.empty()
           && now - m_pending.begin()->second.requestedAt >= internal::kRequestTimeout) {
        onUnreachable(m_pending.begin()->first, now);
    }
}

} // namespace celeryramp
