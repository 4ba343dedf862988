#include "soak/store.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "core/boot_clock.h"
#include "names.h"

namespace standin::soak {

namespace {

using celeryramp::bootNow;
using celeryramp::Millis;
using celeryramp::TimePoint;
using Json = nlohmann::json;
namespace http = celeryramp::http;
namespace platform = celeryramp::platform;

constexpr Millis kTick{10};
constexpr Millis kLongestWatch{30'000};
constexpr std::string_view kKeyPath = "/-/kv-key";

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::string percentDecode(std::string_view text)
{
    constexpr int kHexadecimal = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const std::string digits{text.substr(i + 1, 2)};
            out.push_back(static_cast<char>(std::strtol(digits.c_str(), nullptr, kHexadecimal)));
            i += 2;
        } else {
            out.push_back(text[i]);
        }
    }
    return out;
}

/*! @return A parameter of the query, or an empty string. */
std::string parameter(std::string_view target, std::string_view name)
{
    target.remove_prefix(std::min(target.size(), target.find('?')));
    while (!target.empty()) {
        target.remove_prefix(1);
        const auto field = target.substr(0, target.find('&'));
        target.remove_prefix(field.size());
        const auto equals = std::min(field.size(), field.find('='));
        if (field.substr(0, equals) == name) {
            return percentDecode(field.substr(std::min(field.size(), equals + 1)));
        }
    }
    return {};
}

/*! @return A numeric parameter of the query, or 0. */
std::int64_t numberParameter(std::string_view target, std::string_view name)
{
    return std::atoll(parameter(target, name).c_str());
}

bool beginsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

Json itemJson(const std::string &key, const StoreCopy::Item &item)
{
    return {{"Key", key},
            {"Value", base64(item.value)},
            {"Revision", item.revision},
            {"Created", item.created},
            {"Lease", 0}};
}

} // namespace

Store::Store(boost::asio::io_context &context, const celeryramp::Address &address)
    : m_context{context}, m_timer{context}
{
    listen(address);
    tick();
}

void Store::listen(const celeryramp::Address &address)
{
    m_listeners.push_back(std::make_unique<http::Listener>(
            m_context, [this, host = address.host](boost::asio::ip::tcp::socket socket) {
                accept(std::move(socket), host);
            }));
    if (const auto opened = m_listeners.back()->open(address); !opened) {
        throw std::runtime_error{"store cannot listen: " + opened.error().reason};
    }
}

std::int64_t Store::put(const std::string &key, const std::string &value)
{
    auto &item = m_data.items[key];
    item.value = value;
    item.revision = ++m_data.revision;
    item.created = item.created == 0 ? item.revision : item.created;
    m_data.events.push_back({key, item, false});
    serveWatches();
    return m_data.revision;
}

void Store::remove(const std::string &key)
{
    if (m_data.items.erase(key) > 0) {
        m_data.events.push_back({key, {{}, ++m_data.revision, 0}, true});
        serveWatches();
    }
}

void Store::compact()
{
    m_data.events.clear();
    m_data.compactedAt = m_data.revision;
}

void Store::cutWatches()
{
    closeIf([this](const Connection &connection) {
        return std::any_of(m_watches.begin(), m_watches.end(), [&](const Watch &watch) {
            return watch.response.connection() == connection.connection.get();
        });
    });
}

void Store::setState(const StoreState &state)
{
    m_state = state;
    closeIf([this](const Connection &connection) {
        return m_state.isAway || (m_state.refusal == Refusal::Reset && isTurnedAway(connection));
    });
}

void Store::restore(const StoreCopy &copy)
{
    m_data = copy;
    ++m_era;
    closeIf([](const Connection &) { return true; });
}

void Store::accept(boost::asio::ip::tcp::socket socket, const std::string &host)
{
    auto connection = std::make_shared<http::CallerConnection>(std::move(socket), *this, bootNow());
    const bool isOfTurnedAwayHalf = ++m_accepted % 2 == 0;
    const auto &added = m_connections[connection.get()]
            = {connection, host, isOfTurnedAwayHalf, false};
    if (m_state.isAway || (m_state.refusal == Refusal::Reset && isTurnedAway(added))) {
        connection->reset();
        return;
    }
    connection->start();
}

bool Store::isTurnedAway(const Connection &connection) const
{
    return (m_state.turnsSomeAway && connection.isOfTurnedAwayHalf)
            || m_state.refusedAt.count(connection.host) > 0;
}

bool Store::answers(const Connection &connection) const
{
    return !m_state.isSilent && !connection.isSilent
            && !(m_state.refusal == Refusal::NoResponse && isTurnedAway(connection));
}

void Store::closeIf(const std::function<bool(const Connection &)> &matches)
{
    std::vector<http::CallerConnectionPtr> closing;
    for (const auto &[key, connection] : m_connections) {
        if (matches(connection)) {
            closing.push_back(connection.connection);
        }
    }
    for (const auto &connection : closing) {
        connection->reset();
    }
}

bool Store::isWithinRate(TimePoint now)
{
    if (now - m_rateSecond >= std::chrono::seconds{1}) {
        m_rateSecond = now;
        m_readsInSecond = 0;
    }
    return ++m_readsInSecond <= m_limits.readsPerSecond;
}

void Store::respond(const http::ResponseWriter &response, int status, const std::string &body)
{
    if (m_state.losesAnswers) {
        if (const auto it = m_connections.find(response.connection()); it != m_connections.end()) {
            it->second.isSilent = true;
        }
        return;
    }
    http::Answer answer;
    answer.status = status;
    answer.headers = {{std::string{platform::kStoreEraHeader}, std::to_string(m_era)}};
    answer.body = body;
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_state.delay);
    timer->async_wait([timer, response, answer](const boost::system::error_code &ec) {
        if (!ec) {
            response.answer(answer);
        }
    });
}

void Store::respondToKey(const http::ResponseWriter &response, std::string_view target)
{
    ++m_calls.keys;
    const auto it = m_data.items.find(parameter(target, "Key"));
    if (it == m_data.items.end()) {
        respond(response, kNotFound, Json{{"CurrentRev", m_data.revision}}.dump());
        return;
    }
    auto body = itemJson(it->first, it->second);
    body["CurrentRev"] = m_data.revision;
    respond(response, kOk, body.dump());
}

void Store::respondToRange(const http::ResponseWriter &response, std::string_view target)
{
    ++m_calls.lists;
    const auto prefix = parameter(target, "Prefix");
    const auto after = parameter(target, "after");
    auto items = Json::array();
    std::size_t bytes = 0;
    bool isTruncated = false;
    auto it = m_data.items.lower_bound(prefix);
    if (!after.empty() && after >= prefix) {
        it = m_data.items.upper_bound(after);
    }
    for (; it != m_data.items.end() && beginsWith(it->first, prefix); ++it) {
        bytes += it->second.value.size();
        isTruncated = !items.empty()
                && (items.size() >= m_limits.pageItems || bytes > m_limits.pageBytes);
        if (isTruncated) {
            break;
        }
        items.push_back(itemJson(it->first, it->second));
    }
    const Json body{{"items", std::move(items)},
                    {"Truncated", isTruncated},
                    {"CurrentRev", m_data.revision}};
    respond(response, kOk, body.dump());
}

void Store::beginWatch(const http::ResponseWriter &response, std::string_view target)
{
    ++m_calls.watches;
    const auto after = numberParameter(target, "after");
    if (after < m_data.compactedAt || after > m_data.revision) {
        respond(response, kGone, {});
        return;
    }
    const auto wait = std::min(Millis{numberParameter(target, "WaitMs")}, kLongestWatch);
    m_watches.push_back({response, parameter(target, "Prefix"), after, bootNow() + wait});
    serveWatches();
}

std::string Store::eventsBody(const Watch &watch, bool isEmptyAllowed) const
{
    auto events = Json::array();
    for (const auto &event : m_data.events) {
        if (event.item.revision <= watch.after || !beginsWith(event.key, watch.prefix)) {
            continue;
        }
        if (event.isRemoved) {
            events.push_back(
                    {{"Key", event.key}, {"Revision", event.item.revision}, {"Removed", true}});
        } else {
            events.push_back(itemJson(event.key, event.item));
        }
    }
    if (events.empty() && !isEmptyAllowed) {
        return {};
    }
    return Json{{"events", std::move(events)}, {"CurrentRev", m_data.revision}}.dump();
}

void Store::onRequest(http::ResponseWriter response, http::Request request)
{
    using Respond = void (Store::*)(const http::ResponseWriter &, std::string_view);
    struct Path
    {
        std::string_view path;
        Respond respond;
    };
    static constexpr std::array<Path, 3> kPaths{{{kKeyPath, &Store::respondToKey},
                                                 {platform::kListPath, &Store::respondToRange},
                                                 {platform::kWatchPath, &Store::beginWatch}}};
    const auto connection = m_connections.find(response.connection());
    if (connection == m_connections.end() || !answers(connection->second)) {
        return;
    }
    if (m_state.isBusy || isTurnedAway(connection->second)) {
        ++m_calls.refused;
        const bool isTooMany = !m_state.isBusy && m_state.refusal == Refusal::TooManyRequests;
        respond(response, isTooMany ? kTooManyRequests : kUnavailable, {});
        return;
    }
    if (!isWithinRate(bootNow())) {
        ++m_calls.refused;
        respond(response, kTooManyRequests, {});
        return;
    }
    const std::string_view target{request.target};
    const auto path = target.substr(0, target.find('?'));
    const auto *const it = std::find_if(kPaths.begin(), kPaths.end(),
                                        [path](const Path &known) { return known.path == path; });
    if (it == kPaths.end()) {
        respond(response, kNotFound, {});
        return;
    }
    (this->*it->respond)(response, target);
}

void Store::serveWatches()
{
    const auto now = bootNow();
    auto watches = std::move(m_watches);
    m_watches.clear();
    for (auto &watch : watches) {
        const auto body = eventsBody(watch, now >= watch.until);
        const auto connection = m_connections.find(watch.response.connection());
        if (connection == m_connections.end()) {
            continue;
        }
        if (body.empty()) {
            m_watches.push_back(std::move(watch));
        } else if (answers(connection->second)) {
            respond(watch.response, kOk, body);
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
    m_connections.erase(connection.get());
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(),
                                   [&](const Watch &watch) {
                                       return watch.response.connection() == connection.get();
                                   }),
                    m_watches.end());
}

} // namespace standin::soak
