#include "limits/minter.h"

#include <algorithm>
#include <cmath>

namespace celeryramp {

namespace internal {

[[nodiscard]] AccountShare minShare(const AccountShare &a, const AccountShare &b)
{
    return {std::min(a.ratePerSecond, b.ratePerSecond), std::min(a.capacity, b.capacity),
            std::min(a.grantLifetime, b.grantLifetime)};
}

} // namespace internal

void Minter::onSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    const bool first = !m_snapshot;
    m_snapshot = std::move(snapshot);
    std::map<std::string, Bucket> buckets;
    for (const auto &[name, account] : m_snapshot->model().accounts) {
        const auto share = shareOf(*m_snapshot, account, m_self);
        const auto previous = m_buckets.find(name);
        const bool exists = previous != m_buckets.end();
        if (share.ratePerSecond == 0.0 && !exists) {
            continue;
        }
        auto bucket = exists ? previous->second : Bucket{{}, {}, {}, now, 0.0};
        refill(bucket, now);
        bucket.share = first ? share : internal::minShare(bucket.share, share);
        bucket.nextShare = share;
        bucket.nextShareFrom = now + kShareGrowthDelay;
        bucket.level = std::min(bucket.level, double(bucket.share.capacity));
        buckets.emplace(name, bucket);
    }
    m_buckets = std::move(buckets);
}

Grant Minter::grant(const std::string &account, MicroTokens wanted, TimePoint now)
{
    const auto it = m_buckets.find(account);
    if (it == m_buckets.end()) {
        return {};
    }
    auto &bucket = it->second;
    refill(bucket, now);
    const auto level = static_cast<MicroTokens>(std::floor(bucket.level));
    const auto available = std::clamp<MicroTokens>(wanted, 0, level);
    const auto granted
            = available - available % kMicroTokensPerCall; // A fraction of a call expires unused.
    bucket.level -= double(granted);
    return {granted, level - granted, bucket.share.grantLifetime};
}

void Minter::suspend(TimePoint now)
{
    m_suspended = true;
    for (auto &[name, bucket] : m_buckets) {
        bucket.level = 0.0;
        bucket.mintedAt = now;
    }
}

void Minter::resume(TimePoint now)
{
    if (!m_suspended) {
        return;
    }
    m_suspended = false;
    for (auto &[name, bucket] : m_buckets) {
        bucket.mintedAt = now;
    }
}

void Minter::refill(Bucket &bucket, TimePoint now) const
{
    if (m_suspended) {
        return;
    }
    if (now >= bucket.nextShareFrom) {
        mint(bucket, std::max(bucket.nextShareFrom, bucket.mintedAt));
        bucket.share = bucket.nextShare;
    }
    mint(bucket, now);
}

void Minter::mint(Bucket &bucket, TimePoint until)
{
    if (until <= bucket.mintedAt) {
        return;
    }
    const auto minted = bucket.share.ratePerSecond * secondsBetween(bucket.mintedAt, until);
    bucket.level = std::min(double(bucket.share.capacity), bucket.level + minted);
    bucket.mintedAt = until;
}

} // namespace celeryramp
