#include "gate/ledger_home.h"

#include <algorithm>

#include "gate/ledger_homes.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kMaxRecords = 1'000'000;

[[nodiscard]] bool sameServers(const Snapshot &a, const Snapshot &b)
{
    const auto &left = a.model().servers;
    const auto &right = b.model().servers;
    return left.size() == right.size()
            && std::equal(left.begin(), left.end(), right.begin(),
                          [](const auto &x, const auto &y) {
                              return x.first == y.first && x.second.zone == y.second.zone;
                          });
}

[[nodiscard]] bool isHome(const Snapshot &snapshot, const std::string &key, const std::string &self)
{
    const auto homes = ledgerHomes(snapshot, key);
    return std::find(homes.begin(), homes.end(), self) != homes.end();
}

} // namespace internal

LedgerHome::LedgerHome(std::string self, LedgerSettings settings, TimePoint startedAt)
    : m_self{std::move(self)}, m_settings{settings}, m_startedAt{startedAt}
{ }

void LedgerHome::onSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    if (m_snapshot && !internal::sameServers(*m_snapshot, *snapshot)) {
        m_pastConfigurations.push_back({m_snapshot, now});
    }
    m_snapshot = std::move(snapshot);
}

VoteMessage LedgerHome::onReserve(const ReserveMessage &message, TimePoint now)
{
    VoteMessage reply{message.id, m_self, Vote::Abstained, {}};
    const auto it = m_records.find(message.key);
    if (it != m_records.end() && it->second.expiresAt > now) {
        const auto &record = it->second.record;
        if (record.digest != message.digest) {
            reply.vote = Vote::Mismatch;
            return reply;
        }
        if (record.attempt != message.attempt) {
            reply.vote = Vote::Held;
            reply.record.push_back(record);
            return reply;
        }
    } else if (m_records.size() >= internal::kMaxRecords) {
        return reply;
    }
    Entry entry{{message.key, message.digest, message.attempt, RecordState::Reserved, 0, {}, {}, 0},
                now + m_settings.retention};
    m_records[message.key] = std::move(entry);
    reply.vote = canVote(message.key, now) ? Vote::Granted : Vote::Abstained;
    return reply;
}

void LedgerHome::onComplete(const CompleteMessage &message, TimePoint now)
{
    const auto it = m_records.find(message.record.key);
    if (it == m_records.end() || it->second.record.attempt != message.record.attempt) {
        return;
    }
    if (message.release) {
        if (it->second.record.state == RecordState::Reserved) {
            m_records.erase(it);
        }
        return;
    }
    it->second.record = message.record;
    it->second.record.state = RecordState::Done;
    it->second.expiresAt = now + m_settings.retention;
}

RecordsMessage LedgerHome::onRecover(TimePoint now) const
{
    RecordsMessage reply{m_self, isComplete(now), {}};
    for (const auto &[key, entry] : m_records) {
        const auto remaining = millisBetween(now, entry.expiresAt).count();
        if (remaining > 0) {
            reply.records.push_back(entry.record);
            reply.records.back().ttlMs = static_cast<std::uint32_t>(remaining);
        }
    }
    return reply;
}

void LedgerHome::onRecords(const RecordsMessage &message, TimePoint now)
{
    if (now < m_startedAt + kRecoveryDelay) {
        return;
    }
    for (const auto &record : message.records) {
        merge(record, now);
    }
    if (message.complete) {
        m_recoveredFrom.insert(message.server);
    }
}

void LedgerHome::onPause(TimePoint now)
{
    m_startedAt = now;
    m_settings.firstStart = false;
    m_recoveredFrom.clear();
}

std::vector<std::string> LedgerHome::recoverySources(TimePoint now) const
{
    std::vector<std::string> wanted;
    if (!m_snapshot || now < m_startedAt + kRecoveryDelay || isComplete(now)) {
        return wanted;
    }
    for (const auto &[name, server] : m_snapshot->model().servers) {
        if (name != m_self && m_recoveredFrom.count(name) == 0) {
            wanted.push_back(name);
        }
    }
    return wanted;
}

void LedgerHome::tick(TimePoint now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        it = it->second.expiresAt <= now ? m_records.erase(it) : std::next(it);
    }
    while (!m_pastConfigurations.empty()
           && m_pastConfigurations.front().endedAt + m_settings.retention <= now) {
        m_pastConfigurations.pop_front();
    }
}

bool LedgerHome::isComplete(TimePoint now) const
{
    if (m_settings.firstStart || now >= m_startedAt + m_settings.retention) {
        return true;
    }
    if (!m_snapshot || now < m_startedAt + kVoteDelay) {
        return false;
    }
    const auto &servers = m_snapshot->model().servers;
    return std::all_of(servers.begin(), servers.end(), [&](const auto &entry) {
        return entry.first == m_self || m_recoveredFrom.count(entry.first) > 0;
    });
}

bool LedgerHome::canVote(const std::string &key, TimePoint now) const
{
    if (!m_snapshot || !internal::isHome(*m_snapshot, key, m_self)
        || !wasHomeThroughout(key, now)) {
        return false;
    }
    if (isComplete(now)) {
        return true;
    }
    if (now < m_startedAt + kVoteDelay) {
        return false;
    }
    const auto homes = ledgerHomes(*m_snapshot, key);
    return std::all_of(homes.begin(), homes.end(), [&](const auto &home) {
        return home == m_self || m_recoveredFrom.count(home) > 0;
    });
}

bool LedgerHome::wasHomeThroughout(const std::string &key, TimePoint now) const
{
    return std::all_of(m_pastConfigurations.begin(), m_pastConfigurations.end(),
                       [&](const PastConfiguration &past) {
                           return past.endedAt + m_settings.retention <= now
                                   || internal::isHome(*past.snapshot, key, m_self);
                       });
}

void LedgerHome::merge(const LedgerRecord &record, TimePoint now)
{
    const auto it = m_records.find(record.key);
    const bool exists = it != m_records.end() && it->second.expiresAt > now;
    const bool isCompletion = exists && it->second.record.state == RecordState::Reserved
            && record.state == RecordState::Done;
    if (!exists || isCompletion) {
        m_records[record.key] = {record, now + Millis{record.ttlMs}};
    }
}

} // namespace celeryramp
