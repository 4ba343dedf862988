#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/client_connection.h"
#include "proxy/body_scheduler.h"
#include "proxy/frames.h"

namespace celeryramp::engine {

/*! @brief Long answers that a gate sends in parts. A body can outlast its call, whose server is
 * done. `proxy::BodyScheduler` decides which part is sent when. */
class AnswerBodies
{
public:
    using Key = proxy::BodyScheduler::Key;
    /*! Sends a part. Returns false if it cannot be sent. */
    using Send = std::function<bool(proxy::BodyFrame)>;
    /*! Called for a body of which a part could not be sent; nothing of it may follow. */
    using Failed = std::function<void(const Key &, TimePoint)>;

    /*! @param linkMegabits Rate of the link in Mbit/s; 0 if it is unknown. */
    AnswerBodies(boost::asio::io_context &context, double linkMegabits, Failed failed);

    /*!
     * @brief Begins a body.
     * @param isOnLink False for a receiver on the own node.
     * @param source Where more of it is read from, which pauses while much is unsent; may be null.
     */
    void begin(const Key &key, bool isOnLink, std::string requestId, Send send,
               http::ClientConnectionPtr source, TimePoint now);
    /*! @brief Sends a body that is complete. */
    void sendWhole(const Key &key, bool isOnLink, std::string requestId, Send send,
                   std::string bytes, TimePoint now);
    void append(const Key &key, std::string_view bytes, TimePoint now);
    void end(const Key &key, proxy::BodyEnd end, TimePoint now);
    void onCredit(const Key &key, std::size_t bytes, TimePoint now);
    void remove(const Key &key);
    /*! @brief Removes all bodies for a node whose link is lost. */
    void removeAll(const std::string &origin);

    /*! @brief Sends what receivers have held up that others have stopped waiting for. */
    void sweep(TimePoint now);
    void stop() { m_timer.cancel(); }

    [[nodiscard]] std::vector<Key> keys() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_bodies.size(); }
    /*! @return Bytes that were read from the server and not sent yet. */
    [[nodiscard]] std::size_t unsentBytes() const;

    /*! Bytes of a body that are read from the server ahead of what can be sent. */
    static constexpr std::size_t kMaxUnsentBytes = 64 * 1024;

private:
    struct Body
    {
        Send send;
        std::string requestId;
        std::string unsent;
        std::uint64_t offset = 0; /*!< Of `unsent` in the body. */
        std::optional<proxy::BodyEnd>
                end; /*!< How it ends after `unsent`; empty while more comes. */
        http::ClientConnectionPtr source;
    };

    void sendAllowed(TimePoint now);
    void armTimer(TimePoint now);

    std::map<Key, Body> m_bodies;
    proxy::BodyScheduler m_scheduler;
    boost::asio::steady_timer m_timer; /*!< Until the rate of the link allows more. */
    Failed m_failed;
    bool m_isTimerArmed = false;
};

} // namespace celeryramp::engine
