#include "platform/platform.h"

#include <thread>

#include <nlohmann/json.hpp>

#include "common/journal.h"
#include "config/manifest.h"
#include "config/parse.h"
#include "core/hash.h"

namespace standin {

using celeryramp::HttpRequest;
using celeryramp::HttpResponse;
using celeryramp::Millis;

namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr std::uint64_t kReadsPerSecond = 2000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::size_t kManifestsKept = 64;

HttpResponse text(int status, std::string body)
{
    return {status, {}, std::move(body), "application/json", false};
}

std::uint64_t number(const std::string &text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

HttpResponse Platform::serve(const HttpRequest &request)
{
    if (request.path.rfind("/admin/", 0) == 0) {
        return admin(request);
    }
    return read(request);
}

HttpResponse Platform::read(const HttpRequest &request)
{
    Millis slow{0};
    {
        const std::lock_guard lock{m_mutex};
        countRead();
        if (m_faults.outage) {
            return text(kUnavailable, "{}");
        }
        if (m_readsThisSecond > kReadsPerSecond) {
            ++m_refused;
            return text(kTooMany, "{}");
        }
        slow = m_faults.slow;
    }
    std::this_thread::sleep_for(slow);
    if (request.path == "/v1/config/manifest") {
        return manifest(request);
    }
    if (request.path == "/v1/instances") {
        return instances(request);
    }
    constexpr std::string_view kPartPrefix = "/v1/config/parts/";
    if (request.path.rfind(kPartPrefix, 0) == 0) {
        return part(request.path.substr(kPartPrefix.size()));
    }
    return text(kNotFound, "{}");
}

HttpResponse Platform::manifest(const HttpRequest &request)
{
    const auto known = number(request.query("not"));
    const Millis wait{static_cast<std::int64_t>(number(request.query("wait_ms")))};
    std::unique_lock lock{m_mutex};
    const auto versionServed = [this] {
        const auto &served = servedManifest();
        return served.empty() ? std::uint64_t{0}
                              : celeryramp::parseManifest(served).value().version;
    };
    if (known != 0 && versionServed() == known) {
        ++m_waiting;
        m_changed.wait_for(lock, wait, [&] { return m_faults.outage || versionServed() != known; });
        --m_waiting;
        if (m_faults.outage) {
            return text(kUnavailable, "{}");
        }
        if (versionServed() == known) {
            return {kNotModified, {}, "", "application/json", false};
        }
    }
    const auto &served = servedManifest();
    return served.empty() ? text(kNotFound, "{}") : text(kOk, served);
}

const std::string &Platform::servedManifest()
{
    static const std::string kNone;
    if (m_manifests.empty()) {
        return kNone;
    }
    if (m_faults.stale) {
        return m_staleManifest;
    }
    const bool older = m_faults.crossed && m_reads % 2 == 0 && m_manifests.size() > 1;
    return older ? m_manifests[m_manifests.size() - 2] : m_manifests.back();
}

HttpResponse Platform::part(const std::string &hash)
{
    const std::lock_guard lock{m_mutex};
    const auto it = m_parts.find(hash);
    return it == m_parts.end() ? text(kNotFound, "{}") : text(kOk, it->second);
}

HttpResponse Platform::instances(const HttpRequest &request)
{
    const auto known = number(request.query("not"));
    const Millis wait{static_cast<std::int64_t>(number(request.query("wait_ms")))};
    std::unique_lock lock{m_mutex};
    if (known != 0 && m_instanceIndex == known) {
        ++m_waiting;
        m_changed.wait_for(lock, wait, [&] { return m_faults.outage || m_instanceIndex != known; });
        --m_waiting;
        if (m_faults.outage) {
            return text(kUnavailable, "{}");
        }
        if (m_instanceIndex == known) {
            return {kNotModified, {}, "", "application/json", false};
        }
    }
    auto list = nlohmann::json::array();
    for (const auto &[server, state] : m_instances) {
        list.push_back({{"server", server}, {"state", state}});
    }
    return text(kOk, nlohmann::json{{"index", m_instanceIndex}, {"instances", list}}.dump());
}

HttpResponse Platform::admin(const HttpRequest &request)
{
    if (request.path == "/admin/publish") {
        return publish(request.body);
    }
    if (request.path == "/admin/faults") {
        return setFaults(request);
    }
    if (request.path == "/admin/instance") {
        return setInstance(request);
    }
    if (request.path == "/admin/restore") {
        return restore(request);
    }
    if (request.path == "/admin/stats") {
        return stats();
    }
    return text(kNotFound, "{}");
}

/*!
 * Body: `{"parts": {name: text}, "version": n, "hashes": {name: hash}}`. Parts not named stay as
 * they were; `version` defaults to the next; `hashes` overrides true ones, to publish bad versions.
 */
HttpResponse Platform::publish(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return text(kBadRequest, "{\"error\":\"no JSON object\"}");
    }
    const auto changed = json.value("parts", nlohmann::json::object());
    const auto hashes = json.value("hashes", nlohmann::json::object());
    const std::lock_guard lock{m_mutex};
    auto parts = m_latest;
    for (const auto &[name, value] : changed.items()) {
        parts[name] = value.get<std::string>();
    }
    celeryramp::Manifest manifest;
    manifest.version = json.value("version", m_version + 1);
    for (const auto &[name, bytes] : parts) {
        const auto hash = celeryramp::sha256Hex(bytes);
        manifest.parts[name] = hash;
        m_parts[hash] = bytes;
    }
    for (const auto &[name, hash] : hashes.items()) {
        manifest.parts[name] = hash.get<std::string>();
    }
    if (!json.contains("hashes") && !json.value("transient", false)) {
        m_latest = std::move(parts);
    }
    m_version = std::max(m_version, manifest.version);
    m_manifests.push_back(celeryramp::manifestText(manifest));
    if (m_manifests.size() > kManifestsKept) {
        m_manifests.pop_front();
    }
    m_changed.notify_all();
    return text(kOk,
                nlohmann::json{{"version", manifest.version},
                               {"digest", manifest.digest()},
                               {"unix_ms", wallMicros() / 1000}}
                        .dump());
}

HttpResponse Platform::setFaults(const HttpRequest &request)
{
    const std::lock_guard lock{m_mutex};
    m_faults.outage = request.query("outage") == "1";
    m_faults.crossed = request.query("crossed") == "1";
    const bool stale = request.query("stale") == "1";
    if (stale && !m_faults.stale && !m_manifests.empty()) {
        m_staleManifest = m_manifests.back();
    }
    m_faults.stale = stale;
    m_faults.slow = Millis{static_cast<std::int64_t>(number(request.query("slow_ms")))};
    m_changed.notify_all();
    return text(kOk, "{}");
}

HttpResponse Platform::setInstance(const HttpRequest &request)
{
    const std::lock_guard lock{m_mutex};
    m_formerInstances.push_back(m_instances);
    m_instances[request.query("server")] = request.query("state");
    ++m_instanceIndex;
    m_changed.notify_all();
    return text(kOk, "{}");
}

/*!
 * Forgets the last `versions` manifests with the parts that only they name, and the last `lists`
 * changes of the instance list. Their numbers are given out again.
 */
HttpResponse Platform::restore(const HttpRequest &request)
{
    const std::lock_guard lock{m_mutex};
    for (auto n = number(request.query("versions")); n > 0 && m_manifests.size() > 1; --n) {
        m_manifests.pop_back();
    }
    for (auto n = number(request.query("lists")); n > 0 && !m_formerInstances.empty(); --n) {
        m_instances = std::move(m_formerInstances.back());
        m_formerInstances.pop_back();
        --m_instanceIndex;
    }
    if (m_manifests.empty()) {
        return text(kOk, "{}");
    }
    std::map<std::string, std::string> parts;
    for (const auto &kept : m_manifests) {
        const auto manifest = celeryramp::parseManifest(kept).value();
        for (const auto &[name, hash] : manifest.parts) {
            if (const auto it = m_parts.find(hash); it != m_parts.end()) {
                parts.insert(*it);
            }
        }
    }
    m_parts = std::move(parts);
    const auto last = celeryramp::parseManifest(m_manifests.back()).value();
    m_version = last.version;
    m_latest.clear();
    for (const auto &[name, hash] : last.parts) {
        m_latest[name] = m_parts[hash];
    }
    m_changed.notify_all();
    return text(kOk, nlohmann::json{{"version", m_version}, {"index", m_instanceIndex}}.dump());
}

HttpResponse Platform::stats()
{
    const std::lock_guard lock{m_mutex};
    return text(kOk,
                nlohmann::json{{"reads", m_reads},
                               {"waiting", m_waiting},
                               {"refused", m_refused},
                               {"most_per_second", m_mostPerSecond},
                               {"version", m_version}}
                        .dump());
}

void Platform::countRead()
{
    const auto second = wallMicros() / kMicrosPerSecond;
    if (second != m_second) {
        m_second = second;
        m_readsThisSecond = m_waiting; // a waiting watch counts as a read
    }
    ++m_reads;
    ++m_readsThisSecond;
    m_mostPerSecond = std::max(m_mostPerSecond, m_readsThisSecond);
}

} // namespace standin
