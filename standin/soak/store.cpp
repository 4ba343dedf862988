#include "soak/store.h"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "core/boot_clock.h"
#include "names.h"

namespace standin::soak {

namespace {

using celeryramp::bootNow;
using celeryramp::Millis;
using Json = nlohmann::json;
namespace http = celeryramp::http;

constexpr Millis kTick{10};

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

/*! @return A numeric parameter of the query, or 0. */
std::int64_t numberParameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::atoll(target.c_str() + at + name.size() + 1);
}

bool beginsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

Store::Store(boost::asio::io_context &context, const celeryramp::Address &address)
    : m_context{context}, m_timer{context},
      m_listener{context, [this](boost::asio::ip::tcp::socket socket) {
                     auto connection = std::make_shared<http::CallerConnection>(std::move(socket),
                                                                                *this, bootNow());
                     m_connections.insert(connection);
                     if (++m_accepted % 2 == 0) {
                         m_turnedAway.insert(connection.get());
                     }
                     connection->start();
                 }}
{
    if (const auto opened = m_listener.open(address); !opened) {
        throw std::runtime_error{"store cannot listen: " + opened.error().reason};
    }
    tick();
}

void Store::put(const std::string &key, const std::string &value)
{
    m_items[key] = {value, ++m_revision};
    m_events.push_back({key, m_revision, false, value});
    serveWatches();
}

void Store::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_events.push_back({key, ++m_revision, true, {}});
        serveWatches();
    }
}

void Store::compact()
{
    m_events.clear();
    m_compactedAt = m_revision;
}

std::string Store::rangeBody() const
{
    auto items = Json::array();
    for (const auto &[key, item] : m_items) {
        items.push_back({{"Key", key},
                         {"Value", base64(item.value)},
                         {"Revision", item.revision},
                         {"Created", item.revision},
                         {"Lease", 0}});
    }
    return Json{{"items", std::move(items)}, {"Truncated", false}, {"CurrentRev", m_revision}}
            .dump();
}

std::string Store::eventsBody(std::int64_t after, bool isEmptyAllowed) const
{
    auto events = Json::array();
    for (const auto &event : m_events) {
        if (event.revision <= after) {
            continue;
        }
        Json json{{"Key", event.key}, {"Revision", event.revision}};
        if (event.isRemoved) {
            json["Removed"] = true;
        } else {
            json["Value"] = base64(event.value);
        }
        events.push_back(std::move(json));
    }
    if (events.empty() && !isEmptyAllowed) {
        return {};
    }
    return Json{{"events", std::move(events)}, {"CurrentRev", m_revision}}.dump();
}

void Store::respond(const http::ResponseWriter &response, int status, const std::string &body)
{
    http::Answer answer;
    answer.status = status;
    answer.body = body;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_state.delay);
    timer->async_wait([timer, response, answer](const boost::system::error_code &ec) {
        if (!ec) {
            response.answer(answer);
        }
    });
}

void Store::onRequest(http::ResponseWriter response, http::Request request)
{
    const bool isRefused = m_state.turnsSomeAway && m_turnedAway.count(response.connection()) > 0;
    if (m_state.isSilent) {
        return;
    }
    if (m_state.isBusy || isRefused) {
        respond(response, 503, {});
    } else if (beginsWith(request.target, celeryramp::platform::kListPath)) {
        respond(response, 200, rangeBody());
    } else if (beginsWith(request.target, celeryramp::platform::kWatchPath)) {
        const auto after = numberParameter(request.target, "after");
        if (after < m_compactedAt) {
            respond(response, 410, {});
            return;
        }
        const Millis wait{numberParameter(request.target, "WaitMs")};
        m_watches.push_back({std::move(response), after, bootNow() + wait});
        serveWatches();
    } else {
        respond(response, 404, {});
    }
}

void Store::serveWatches()
{
    const auto now = bootNow();
    auto watches = std::move(m_watches);
    m_watches.clear();
    for (auto &watch : watches) {
        const auto body = eventsBody(watch.after, now >= watch.until);
        if (body.empty()) {
            m_watches.push_back(std::move(watch));
        } else if (!m_state.isSilent) {
            respond(watch.response, 200, body);
        }
    }
}

void Store::tick()
{
    serveWatches();
    m_timer.expires_after(kTick);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

void Store::onBadRequest(int /*status*/) { }

void Store::onClosed(const http::CallerConnectionPtr &connection)
{
    m_turnedAway.erase(connection.get());
    m_connections.erase(connection);
}

} // namespace standin::soak
