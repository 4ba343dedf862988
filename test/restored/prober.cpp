#include "restored/prober.h"

#include "core/boot_clock.h"
#include "names.h"

namespace celeryramp::test {

namespace {

constexpr Millis kPause{200};
constexpr Millis kDeadline{1000};
constexpr Millis kConnectTimeout{500};
constexpr std::size_t kBodyLimit = 65'536;
constexpr const char *kBodySize = "100";

} // namespace

Prober::Prober(boost::asio::io_context &context, Address node, ProbeResult probe, Ended ended)
    : m_context{context}, m_node{std::move(node)}, m_probe{std::move(probe)},
      m_ended{std::move(ended)}, m_timer{context}, m_deadline{context}
{ }

Prober::~Prober()
{
    m_isOver = true;
    if (m_connection) {
        m_connection->cancel();
    }
}

void Prober::start(Millis delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            send();
        }
    });
}

void Prober::beginIncarnation()
{
    ++m_probe.incarnation;
}

void Prober::send()
{
    http::Request request;
    request.method = "GET";
    request.target = m_probe.route + kBodySize;
    request.headers = {{"Host", "restored.example"},
                       {std::string{platform::kRequestIdHeader},
                        "p" + std::to_string(m_probe.node) + m_probe.key + "-"
                                + m_probe.route.substr(1, 1) + std::to_string(++m_sent)},
                       {std::string{platform::kDeadlineHeader}, std::to_string(kDeadline.count())}};
    if (!m_probe.key.empty()) {
        request.headers.push_back({std::string{platform::kAuthorizationHeader},
                                   std::string{platform::kBearerPrefix} + m_probe.key});
    }
    if (!m_connection || m_connection->isClosed()) {
        m_connection = std::make_shared<http::ClientConnection>(
                m_context, m_node, kConnectTimeout, kBodyLimit,
                [](const http::ClientConnectionPtr &) {});
    }
    http::Exchange exchange;
    exchange.wire = http::serialize(request);
    exchange.done = [this, incarnation = m_probe.incarnation,
                     sentAt = bootNow()](http::ExchangeEnd end, const http::Answer &answer) {
        if (!m_isOver) {
            onEnd(incarnation, sentAt, end == http::ExchangeEnd::Answered ? answer.status : 0);
        }
    };
    m_deadline.expires_after(kDeadline);
    m_deadline.async_wait([connection = m_connection](const boost::system::error_code &ec) {
        if (!ec) {
            connection->cancel();
        }
    });
    m_connection->send(std::move(exchange));
}

void Prober::onEnd(int incarnation, TimePoint sentAt, int status)
{
    m_deadline.cancel();
    auto result = m_probe;
    result.incarnation = incarnation;
    result.sentAt = sentAt;
    result.endedAt = bootNow();
    result.status = status;
    m_ended(std::move(result));
    start(kPause);
}

} // namespace celeryramp::test
