#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/address.h"
#include "core/time.h"
#include "http/caller_connection.h"
#include "http/listener.h"
#include "soak/store_copy.h"
#include "soak/store_state.h"

namespace standin::soak {

/*! @brief Stand-in of the users' metadata store, as far as nodes read it. */
class Store final : public celeryramp::http::CallerEvents
{
public:
    Store(boost::asio::io_context &context, const celeryramp::Address &address);

    /*! @brief Listens on one more address, see `StoreState::refusedAt`. */
    void listen(const celeryramp::Address &address);

    /*! @return Revision of the change. */
    std::int64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /*! @brief Forgets all events, so that watches from before get status 410. */
    void compact();
    /*! @brief Closes the connections of waiting watches without an answer. */
    void cutWatches();
    void setState(const StoreState &state);
    void setLimits(const StoreLimits &limits) { m_limits = limits; }

    [[nodiscard]] StoreCopy copy() const { return m_data; }
    /*! @brief Continues from a copy in the next era; all connections end without an answer. */
    void restore(const StoreCopy &copy);

    [[nodiscard]] std::int64_t era() const noexcept { return m_era; }
    [[nodiscard]] std::int64_t revision() const noexcept { return m_data.revision; }
    [[nodiscard]] const StoreCalls &calls() const noexcept { return m_calls; }

    void onRequest(celeryramp::http::ResponseWriter response,
                   celeryramp::http::Request request) override;
    void onBadRequest(int status) override;
    void onClosed(const celeryramp::http::CallerConnectionPtr &connection) override;
    [[nodiscard]] celeryramp::http::RequestLimits requestLimits() const override { return {}; }

private:
    struct Connection
    {
        celeryramp::http::CallerConnectionPtr connection;
        std::string host; /*!< Of the address on which it was accepted. */
        bool isOfTurnedAwayHalf = false;
        bool isSilent = false; /*!< An answer was lost on it. */
    };
    struct Watch
    {
        celeryramp::http::ResponseWriter response;
        std::string prefix;
        std::int64_t after = 0;
        celeryramp::TimePoint until;
    };

    void accept(boost::asio::ip::tcp::socket socket, const std::string &host);
    [[nodiscard]] bool isTurnedAway(const Connection &connection) const;
    [[nodiscard]] bool answers(const Connection &connection) const;
    void closeIf(const std::function<bool(const Connection &)> &matches);
    [[nodiscard]] bool isWithinRate(celeryramp::TimePoint now);

    void respond(const celeryramp::http::ResponseWriter &response, int status,
                 const std::string &body);
    void respondToKey(const celeryramp::http::ResponseWriter &response, std::string_view target);
    void respondToRange(const celeryramp::http::ResponseWriter &response, std::string_view target);
    void beginWatch(const celeryramp::http::ResponseWriter &response, std::string_view target);
    /*! @return The events that a watch is due as a body, or nothing if there are none. */
    [[nodiscard]] std::string eventsBody(const Watch &watch, bool isEmptyAllowed) const;
    void serveWatches();
    void tick();

    boost::asio::io_context &m_context;
    StoreState m_state;
    StoreLimits m_limits;
    StoreCalls m_calls;
    StoreCopy m_data;
    std::int64_t m_era = 1;
    std::vector<Watch> m_watches;
    std::map<const celeryramp::http::CallerConnection *, Connection> m_connections;
    int m_accepted = 0;
    celeryramp::TimePoint m_rateSecond; /*!< Start of the second in which reads are counted. */
    int m_readsInSecond = 0;
    boost::asio::steady_timer m_timer;
    std::vector<std::unique_ptr<celeryramp::http::Listener>> m_listeners;
};

} // namespace standin::soak
