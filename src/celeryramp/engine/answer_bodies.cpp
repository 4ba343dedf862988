#include "engine/answer_bodies.h"

#include <utility>

#include "core/boot_clock.h"
#include "observe/log.h"

namespace celeryramp::engine {

AnswerBodies::AnswerBodies(boost::asio::io_context &context, double linkMegabits, Failed failed)
    : m_timer{context}, m_failed{std::move(failed)}
{
    m_scheduler.setRate(linkMegabits);
}

void AnswerBodies::begin(const Key &key, bool isOnLink, std::string requestId, Send send,
                         http::ClientConnectionPtr source, TimePoint now)
{
    m_scheduler.add(key, isOnLink, now);
    m_bodies[key] = {std::move(send), std::move(requestId), {}, 0, {}, std::move(source)};
}

void AnswerBodies::sendWhole(const Key &key, bool isOnLink, std::string requestId, Send send,
                             std::string bytes, TimePoint now)
{
    begin(key, isOnLink, std::move(requestId), std::move(send), nullptr, now);
    m_scheduler.onAvailable(key, bytes.size());
    m_bodies[key].unsent = std::move(bytes);
    end(key, proxy::BodyEnd::Complete, now);
}

void AnswerBodies::append(const Key &key, std::string_view bytes, TimePoint now)
{
    const auto it = m_bodies.find(key);
    if (it == m_bodies.end()) {
        return;
    }
    auto &body = it->second;
    m_scheduler.onAvailable(key, bytes.size());
    body.unsent.append(bytes);
    if (body.unsent.size() > kMaxUnsentBytes && body.source) {
        body.source->setReadingPaused(true);
    }
    sendAllowed(now);
}

void AnswerBodies::end(const Key &key, proxy::BodyEnd end, TimePoint now)
{
    if (const auto it = m_bodies.find(key); it != m_bodies.end()) {
        it->second.end = end;
        it->second.source.reset();
        sendAllowed(now);
    }
}

void AnswerBodies::sendAllowed(TimePoint now)
{
    std::vector<Key> failed;
    while (const auto grant = m_scheduler.next(now)) {
        const auto it = m_bodies.find(grant->key);
        auto &body = it->second;
        proxy::BodyFrame part{grant->key.second, body.offset, proxy::BodyEnd::More,
                              body.unsent.substr(0, grant->bytes)};
        body.unsent.erase(0, grant->bytes);
        body.offset += grant->bytes;
        if (body.unsent.empty() && body.end) {
            part.end = *body.end;
        }
        if (body.unsent.size() < kMaxUnsentBytes / 2 && body.source) {
            body.source->setReadingPaused(false);
        }
        const bool isLast = part.end != proxy::BodyEnd::More;
        if (!body.send(std::move(part))) {
            logEvent(LogLevel::Warn, "gate", "body-not-sent", {{"request", body.requestId}});
            m_scheduler.remove(grant->key);
            failed.push_back(grant->key);
        } else if (isLast) {
            m_scheduler.finish(grant->key);
            m_bodies.erase(it);
        }
    }
    // Bodies that ended without further bytes after their last part.
    for (auto it = m_bodies.begin(); it != m_bodies.end();) {
        auto &body = it->second;
        if (!body.end || !body.unsent.empty()) {
            ++it;
            continue;
        }
        if (!body.send({it->first.second, body.offset, *body.end, {}})) {
            logEvent(LogLevel::Warn, "gate", "body-not-sent", {{"request", body.requestId}});
        }
        m_scheduler.finish(it->first);
        it = m_bodies.erase(it);
    }
    armTimer(now);
    for (const auto &key : failed) {
        m_failed(key, now);
    }
}

void AnswerBodies::armTimer(TimePoint now)
{
    const auto pause = m_scheduler.pause(now);
    if (!pause || std::exchange(m_isTimerArmed, true)) {
        return;
    }
    m_timer.expires_after(*pause);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        m_isTimerArmed = false;
        if (!ec) {
            sendAllowed(bootNow());
        }
    });
}

void AnswerBodies::onCredit(const Key &key, std::size_t bytes, TimePoint now)
{
    m_scheduler.onCredit(key, bytes, now);
    sendAllowed(now);
}

void AnswerBodies::remove(const Key &key)
{
    m_scheduler.remove(key);
    m_bodies.erase(key);
}

void AnswerBodies::removeAll(const std::string &origin)
{
    auto it = m_bodies.lower_bound({origin, 0});
    while (it != m_bodies.end() && it->first.first == origin) {
        it = m_bodies.erase(it);
    }
    m_scheduler.removeAll(origin);
}

void AnswerBodies::sweep(TimePoint now)
{
    m_scheduler.sweep(now);
    sendAllowed(now);
}

std::vector<AnswerBodies::Key> AnswerBodies::keys() const
{
    std::vector<Key> keys;
    keys.reserve(m_bodies.size());
    for (const auto &[key, body] : m_bodies) {
        keys.push_back(key);
    }
    return keys;
}

std::size_t AnswerBodies::unsentBytes() const
{
    std::size_t sum = 0;
    for (const auto &[key, body] : m_bodies) {
        sum += body.unsent.size();
    }
    return sum;
}

} // namespace celeryramp::engine
