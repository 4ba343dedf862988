#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/address.h"
#include "core/time.h"
#include "http/caller_connection.h"
#include "http/listener.h"

namespace standin::soak {

/*! @brief How the store misbehaves. */
struct StoreState
{
    celeryramp::Millis delay{4};
    bool isSilent = false; /*!< Requests get no answer. */
    bool isBusy = false; /*!< Requests get status 503. */
    bool turnsSomeAway = false; /*!< Half of the connections get status 503. */
};

/*! @brief Stand-in of the users' metadata store, as far as nodes read it. */
class Store final : public celeryramp::http::CallerEvents
{
public:
    Store(boost::asio::io_context &context, const celeryramp::Address &address);

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /*! @brief Forgets all events, so that watches from before get status 410. */
    void compact();
    void setState(const StoreState &state) { m_state = state; }

    void onRequest(celeryramp::http::ResponseWriter response,
                   celeryramp::http::Request request) override;
    void onBadRequest(int status) override;
    void onClosed(const celeryramp::http::CallerConnectionPtr &connection) override;
    [[nodiscard]] celeryramp::http::RequestLimits requestLimits() const override { return {}; }

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
    };
    struct Event
    {
        std::string key;
        std::int64_t revision = 0;
        bool isRemoved = false;
        std::string value;
    };
    struct Watch
    {
        celeryramp::http::ResponseWriter response;
        std::int64_t after = 0;
        celeryramp::TimePoint until;
    };

    void respond(const celeryramp::http::ResponseWriter &response, int status,
                 const std::string &body);
    [[nodiscard]] std::string rangeBody() const;
    /*! @return The events after a revision as a body, or nothing if there are none. */
    [[nodiscard]] std::string eventsBody(std::int64_t after, bool isEmptyAllowed) const;
    void serveWatches();
    void tick();

    boost::asio::io_context &m_context;
    StoreState m_state;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::int64_t m_revision = 10;
    std::int64_t m_compactedAt = 0;
    std::vector<Watch> m_watches;
    std::set<celeryramp::http::CallerConnectionPtr> m_connections;
    std::set<const celeryramp::http::CallerConnection *>
            m_turnedAway; /*!< Turned away if some are. */
    int m_accepted = 0;
    boost::asio::steady_timer m_timer;
    celeryramp::http::Listener m_listener;
};

} // namespace standin::soak
