#include "transport/platform_client.h"

#include <nlohmann/json.hpp>

#include "config/limits.h"
#include "config/parse.h"
#include "observe/rejected_answer.h"
#include "transport/blocking_client.h"

namespace celeryramp {

namespace internal {

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
constexpr Millis kConnectTimeout{1000};
constexpr Millis kAnswerTimeout{3000};
constexpr Millis kIdleLimit{5000}; /*!< Longest rest of a connection that is used again. */
constexpr std::size_t kMaxInstanceListBytes = 4 * 1024 * 1024;

/*! @return Query of a read that waits for something other than what is known. */
[[nodiscard]] std::string watchQuery(std::uint64_t known, Millis wait)
{
    return known == 0
            ? std::string{}
            : "?not=" + std::to_string(known) + "&wait_ms=" + std::to_string(wait.count());
}

[[nodiscard]] PlatformError cutError()
{
    return {PlatformErrorCode::Unreachable, "the way to the platform is cut"};
}

} // namespace internal

class PlatformClient::Impl
{
public:
    Impl(const Address &address, const LinkPolicy &policy, MetricsRegistry &metrics)
        : m_client{address, {internal::kConnectTimeout, internal::kIdleLimit}}, m_policy{policy},
          m_metrics{metrics}, m_reads{metrics.counter("platform_reads_total")},
          m_failures{metrics.counter("platform_failures_total")}
    { }

    [[nodiscard]] Result<http::Answer, PlatformError> get(const std::string &path, Millis wait)
    {
        if (m_policy.isPlatformCut()) {
            m_failures.add();
            return internal::cutError();
        }
        m_reads.add();
        http::Request request;
        request.method = "GET";
        request.target = path;
        auto result = m_client.send(std::move(request), {{}, internal::kAnswerTimeout + wait});
        if (m_policy.isPlatformCut()) {
            m_failures.add();
            return internal::cutError();
        }
        if (result.end == http::ExchangeEnd::Malformed) {
            return rejected(result.error);
        }
        if (result.end != http::ExchangeEnd::Answered) {
            m_failures.add();
            return PlatformError{PlatformErrorCode::Unreachable,
                                 result.end == http::ExchangeEnd::NotSent ? "connection failed"
                                                                          : "no response"};
        }
        const int status = result.answer.status;
        if (status != internal::kHttpOk && status != internal::kHttpNotModified) {
            m_failures.add();
            return PlatformError{PlatformErrorCode::Refused, "status " + std::to_string(status)};
        }
        return std::move(result.answer);
    }

    void abort() { m_client.abort(); }

private:
    /*! @brief Logs and counts a response that is not used. */
    [[nodiscard]] PlatformError rejected(http::AnswerError error)
    {
        const auto reason = http::answerErrorName(error);
        m_failures.add();
        recordRejectedAnswer(m_metrics, {"source", {}, {}, reason});
        return {PlatformErrorCode::Malformed, "invalid response: " + std::string{reason}};
    }

    BlockingClient m_client;
    const LinkPolicy &m_policy;
    MetricsRegistry &m_metrics;
    Counter &m_reads;
    Counter &m_failures;
};

PlatformClient::PlatformClient(const Address &address, const LinkPolicy &policy,
                               MetricsRegistry &metrics)
    : m_impl{std::make_unique<Impl>(address, policy, metrics)}
{ }

PlatformClient::~PlatformClient() = default;

Result<std::optional<Manifest>, PlatformError> PlatformClient::readManifest(std::uint64_t known,
                                                                            Millis wait)
{
    auto response = m_impl->get("/v1/config/manifest" + internal::watchQuery(known, wait), wait);
    if (!response) {
        return response.error();
    }
    if (response.value().status == internal::kHttpNotModified) {
        return std::optional<Manifest>{};
    }
    auto manifest = parseManifest(response.value().body);
    if (!manifest) {
        return PlatformError{PlatformErrorCode::Malformed, manifest.error().text()};
    }
    return std::optional<Manifest>{std::move(manifest.value())};
}

Result<std::string, PlatformError> PlatformClient::readPart(const std::string &hash)
{
    auto response = m_impl->get("/v1/config/parts/" + hash, Millis{0});
    if (!response) {
        return response.error();
    }
    return std::move(response.value().body);
}

Result<std::optional<InstanceList>, PlatformError>
PlatformClient::readInstances(std::uint64_t known, Millis wait)
{
    auto response = m_impl->get("/v1/instances" + internal::watchQuery(known, wait), wait);
    if (!response) {
        return response.error();
    }
    if (response.value().status == internal::kHttpNotModified) {
        return std::optional<InstanceList>{};
    }
    const auto json = response.value().body.size() > internal::kMaxInstanceListBytes
            ? nlohmann::json{}
            : nlohmann::json::parse(response.value().body, nullptr, false);
    try {
        InstanceList list;
        list.index = json.at("index").get<std::uint64_t>();
        for (const auto &instance : json.at("instances")) {
            if (instance.at("state").get<std::string>() == "leaving") {
                list.leaving.insert(instance.at("server").get<std::string>());
            }
        }
        return std::optional<InstanceList>{std::move(list)};
    } catch (const nlohmann::json::exception &error) {
        return PlatformError{PlatformErrorCode::Malformed, error.what()};
    }
}

void PlatformClient::abort()
{
    m_impl->abort();
}

} // namespace celeryramp
