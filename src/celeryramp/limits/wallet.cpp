#include "limits/wallet.h"

#include <algorithm>
#include <cmath>

#include "limits/account_share.h"

namespace celeryramp {

namespace internal {

constexpr double kDemandWindowSeconds = 1.0;
constexpr double kWorthAsking = 0.2 * double(kMicroTokensPerCall);
constexpr std::size_t kMaxAsksPerCall = 8;
constexpr double kPrefetchSeconds = 0.05; /*!< Calls held in advance, at the smoothed rate. */
constexpr double kMaxPrefetchShare = 0.25; /*!< Part of a minter's bucket taken at once. */
constexpr Millis kAskTimeout{500};
constexpr Millis kUnreachablePause{1000};

} // namespace internal

void Wallet::onSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    m_snapshot = std::move(snapshot);
    for (auto it = m_purses.begin(); it != m_purses.end();) {
        const auto *account = m_snapshot->findAccount(it->first);
        if (account == nullptr) {
            it = m_purses.erase(it);
            continue;
        }
        fillEstimates(it->second, *account, now);
        ++it;
    }
}

AdmissionResult Wallet::admit(const ClientAccount &account, std::vector<std::string> &tried,
                              TimePoint now)
{
    if (!m_snapshot) {
        return {};
    }
    dropOverdue(now);
    auto &purse = purseOf(account, now);
    dropExpired(purse, now);
    if (tried.empty()) {
        noteDemand(purse, now);
    }
    if (const auto held = total(purse); held >= kMicroTokensPerCall) {
        debit(purse, kMicroTokensPerCall);
        AdmissionResult result{Admission::Admitted, std::nullopt};
        const auto ahead = purse.demandPerSecond * internal::kPrefetchSeconds;
        const auto left = double(held) / double(kMicroTokensPerCall) - 1.0;
        if (ahead >= 1.0 && left < ahead / 2.0 && purse.asksInFlight == 0) {
            if (auto *minter = choose(purse, {}, now);
                minter != nullptr && minter->level >= double(kMicroTokensPerCall)) {
                result.ask = ask(purse, account, *minter, false, now);
            }
        }
        return result;
    }
    auto *minter = choose(purse, tried, now);
    if (minter == nullptr) {
        return {Admission::Refused, std::nullopt};
    }
    tried.push_back(minter->name);
    return {Admission::Wait, ask(purse, account, *minter, true, now)};
}

void Wallet::onGrant(std::uint64_t id, const Grant &grant, TimePoint now)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return;
    }
    const auto pending = std::move(it->second);
    m_pending.erase(it);
    const auto purse = m_purses.find(pending.ask.account);
    if (purse == m_purses.end()) {
        return;
    }
    --purse->second.asksInFlight;
    for (auto &minter : purse->second.minters) {
        if (minter.name == pending.ask.minter) {
            minter.level = double(grant.left);
            minter.at = now;
            minter.blockedUntil = now;
        }
    }
    const auto expiresAt = pending.askedAt + std::min(pending.life, grant.life);
    if (grant.granted <= 0 || expiresAt <= now) {
        return;
    }
    auto &credits = purse->second.credits;
    const auto place = std::upper_bound(
            credits.begin(), credits.end(), expiresAt,
            [](TimePoint at, const Credit &credit) { return at < credit.expiresAt; });
    credits.insert(place, Credit{std::min(grant.granted, pending.ask.amount), expiresAt});
}

std::string Wallet::onUnreachable(std::uint64_t id, TimePoint now)
{
    const auto it = m_pending.find(id);
    if (it == m_pending.end()) {
        return {};
    }
    const auto pending = std::move(it->second);
    m_pending.erase(it);
    if (const auto purse = m_purses.find(pending.ask.account); purse != m_purses.end()) {
        --purse->second.asksInFlight;
        for (auto &minter : purse->second.minters) {
            if (minter.name == pending.ask.minter) {
                minter.blockedUntil = now + internal::kUnreachablePause;
            }
        }
    }
    return pending.ask.account;
}

MicroTokens Wallet::balance(const std::string &account, TimePoint now)
{
    const auto it = m_purses.find(account);
    if (it == m_purses.end()) {
        return 0;
    }
    dropExpired(it->second, now);
    return total(it->second);
}

Wallet::Purse &Wallet::purseOf(const ClientAccount &account, TimePoint now)
{
    const auto [it, added] = m_purses.try_emplace(account.name);
    if (added) {
        it->second.lastCall = now;
        fillEstimates(it->second, account, now);
    }
    return it->second;
}

void Wallet::fillEstimates(Purse &purse, const ClientAccount &account, TimePoint now) const
{
    purse.minters.clear();
    for (const auto &zone : mintingZones(*m_snapshot)) {
        for (const auto &name : mintersOf(*m_snapshot, account, zone)) {
            const auto share = shareOf(*m_snapshot, account, name);
            purse.minters.push_back({name, zone == m_zone, double(share.capacity),
                                     double(share.capacity), share.ratePerSecond, now, now});
        }
    }
}

void Wallet::noteDemand(Purse &purse, TimePoint now)
{
    const auto gap = std::max(0.0, secondsBetween(purse.lastCall, now));
    purse.demandPerSecond *= std::exp(-gap / internal::kDemandWindowSeconds);
    purse.demandPerSecond += 1.0 / internal::kDemandWindowSeconds;
    purse.lastCall = now;
}

void Wallet::dropExpired(Purse &purse, TimePoint now)
{
    while (!purse.credits.empty() && purse.credits.front().expiresAt <= now) {
        purse.credits.pop_front();
    }
}

MicroTokens Wallet::total(const Purse &purse)
{
    MicroTokens sum = 0;
    for (const auto &credit : purse.credits) {
        sum += credit.amount;
    }
    return sum;
}

void Wallet::debit(Purse &purse, MicroTokens amount)
{
    while (amount > 0) {
        auto &first = purse.credits.front();
        const auto part = std::min(first.amount, amount);
        first.amount -= part;
        amount -= part;
        if (first.amount == 0) {
            purse.credits.pop_front();
        }
    }
}

Wallet::MinterEstimate *Wallet::choose(Purse &purse, const std::vector<std::string> &tried,
                                       TimePoint now) const
{
    MinterEstimate *best = nullptr;
    auto inReach = double(total(purse));
    const auto better = [](const MinterEstimate &a, const MinterEstimate &b) {
        const bool aNear = a.sameZone && a.level >= double(kMicroTokensPerCall);
        const bool bNear = b.sameZone && b.level >= double(kMicroTokensPerCall);
        return aNear != bNear ? aNear : a.level > b.level;
    };
    for (auto &minter : purse.minters) {
        if (now > minter.at) {
            const auto minted = minter.ratePerSecond * secondsBetween(minter.at, now);
            minter.level = std::min(minter.capacity, minter.level + minted);
            minter.at = now;
        }
        const bool wasTried = std::find(tried.begin(), tried.end(), minter.name) != tried.end();
        if (wasTried || minter.blockedUntil > now) {
            continue;
        }
        inReach += minter.level;
        if (best == nullptr || better(minter, *best)) {
            best = &minter;
        }
    }
    // Estimates are upper bounds: others may have taken tokens, nobody can have added any.
    const bool hopeless = best == nullptr || best->level < internal::kWorthAsking
            || inReach < double(kMicroTokensPerCall) || tried.size() >= internal::kMaxAsksPerCall;
    return hopeless ? nullptr : best;
}

TokenAsk Wallet::ask(Purse &purse, const ClientAccount &account, MinterEstimate &minter,
                     bool isWaiting, TimePoint now)
{
    const auto price = double(kMicroTokensPerCall);
    const auto ahead = std::min(purse.demandPerSecond * internal::kPrefetchSeconds * price,
                                minter.capacity * internal::kMaxPrefetchShare);
    const auto prefetched = std::floor(std::max(0.0, ahead) / price);
    const auto calls = std::max(1.0, prefetched + (isWaiting ? 1.0 : 0.0));
    const auto amount = static_cast<MicroTokens>(calls * price);
    TokenAsk ask{++m_lastId, minter.name, account.name, amount};
    minter.level = std::max(0.0, minter.level - double(amount));
    ++purse.asksInFlight;
    m_pending.emplace(ask.id, Pending{ask, now, grantLife(account)});
    return ask;
}

void Wallet::dropOverdue(TimePoint now)
{
    while (!m_pending.empty() && now - m_pending.begin()->second.askedAt >= internal::kAskTimeout) {
        onUnreachable(m_pending.begin()->first, now);
    }
}

} // namespace celeryramp
