#include "proxy/body_scheduler.h"

#include <algorithm>

#include "proxy/frames.h"

namespace celeryramp::proxy {

namespace internal {

/*! Bytes of all bodies that may be under way on a link of unknown rate. One of 10 Mbit/s sends them
 *  in 80 ms, and one of 100 Mbit/s with a round trip of 5 ms is kept busy. */
constexpr std::size_t kLinkWindowBytes = 96 * 1024;
/*! Time in which a link of known rate sends what may be under way on it. */
constexpr Millis kBurstTime{20};
/*! Bytes of one frame. */
constexpr std::size_t kPieceBytes = 16 * 1024;
/*! Time without a credit after which a receiver no longer holds up the others. */
constexpr Millis kStallTime{300};

/*! Time after which a finished body that was not acknowledged is forgotten. */
constexpr Millis kForgetTime{5000};

} // namespace internal

void BodyScheduler::add(const Key &key, bool isOnLink, TimePoint now)
{
    remove(key);
    m_byKey[key] = m_bodies.insert(m_bodies.end(), {key, isOnLink, 0, 0, now, false});
}

void BodyScheduler::onAvailable(const Key &key, std::size_t bytes)
{
    if (const auto it = m_byKey.find(key); it != m_byKey.end()) {
        it->second->available += bytes;
    }
}

void BodyScheduler::onCredit(const Key &key, std::size_t bytes, TimePoint now)
{
    if (const auto it = m_byKey.find(key); it != m_byKey.end()) {
        auto &body = *it->second;
        body.underWay -= std::min(bytes, body.underWay);
        body.progressAt = now;
        if (body.isFinished && body.underWay == 0) {
            remove(key);
        }
    }
}

void BodyScheduler::finish(const Key &key)
{
    if (const auto it = m_byKey.find(key); it != m_byKey.end()) {
        it->second->isFinished = true;
        if (it->second->underWay == 0) {
            remove(key);
        }
    }
}

void BodyScheduler::remove(const Key &key)
{
    if (const auto it = m_byKey.find(key); it != m_byKey.end()) {
        m_bodies.erase(it->second);
        m_byKey.erase(it);
    }
}

void BodyScheduler::removeAll(const std::string &origin)
{
    for (auto it = m_byKey.lower_bound({origin, 0});
         it != m_byKey.end() && it->first.first == origin;) {
        m_bodies.erase(it->second);
        it = m_byKey.erase(it);
    }
}

void BodyScheduler::sweep(TimePoint now)
{
    for (auto it = m_bodies.begin(); it != m_bodies.end();) {
        if (it->isFinished && millisBetween(it->progressAt, now) > internal::kForgetTime) {
            m_byKey.erase(it->key);
            it = m_bodies.erase(it);
        } else {
            ++it;
        }
    }
}

bool BodyScheduler::isStalled(const Body &body, TimePoint now) const
{
    return body.underWay > 0 && millisBetween(body.progressAt, now) > internal::kStallTime;
}

bool BodyScheduler::mayProceed(const Body &body, TimePoint now) const
{
    return body.available > 0 && body.underWay < kBodyWindowBytes && !isStalled(body, now);
}

std::optional<Millis> BodyScheduler::pause(TimePoint now) const
{
    const bool isWaiting = std::any_of(m_bodies.begin(), m_bodies.end(), [&](const Body &body) {
        return body.isOnLink && mayProceed(body, now);
    });
    if (!m_sent.isLimited() || !isWaiting) {
        return std::nullopt;
    }
    return std::max(Millis{0}, m_sent.wait(now) - internal::kBurstTime) + Millis{1};
}

std::optional<BodyScheduler::Grant> BodyScheduler::next(TimePoint now)
{
    std::size_t underWay = 0;
    for (const auto &body : m_bodies) {
        underWay += body.isOnLink && !isStalled(body, now) ? body.underWay : 0;
    }
    const bool hasLinkRoom = m_sent.isLimited() ? m_sent.wait(now) <= internal::kBurstTime
                                                : underWay < internal::kLinkWindowBytes;
    for (auto &body : m_bodies) {
        if (!mayProceed(body, now) || (body.isOnLink && !hasLinkRoom)) {
            continue;
        }
        const auto n = std::min(body.available, internal::kPieceBytes);
        if (body.underWay == 0) {
            body.progressAt = now;
        }
        body.available -= n;
        body.underWay += n;
        if (body.isOnLink) {
            m_sent.reserve(n, now);
        }
        return Grant{body.key, n};
    }
    return std::nullopt;
}

} // namespace celeryramp::proxy
