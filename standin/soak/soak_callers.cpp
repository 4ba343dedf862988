#include "soak/soak.h"

#include "core/boot_clock.h"
#include "names.h"
#include "soak/soak_caller.h"
#include "soak/soak_node.h"

namespace standin::soak {

using celeryramp::Address;
using celeryramp::bootNow;
using celeryramp::Millis;
using celeryramp::millisBetween;
namespace http = celeryramp::http;
namespace platform = celeryramp::platform;

namespace {

/*! Callers learn from the readiness check that a node stops. */
constexpr Millis kReadinessLag{2000};
/*! Shortest time between requests of a caller. */
constexpr int kPauseMillis = 10;
constexpr int kProbePauseMillis = 60;

} // namespace

void Soak::sendNext(Caller &caller)
{
    if (m_isOver) {
        return;
    }
    const bool canReuse = caller.connection && caller.connection->isFree();
    if (!canReuse || caller.requestsLeft-- <= 0) {
        if (caller.connection) {
            caller.connection->cancel();
            caller.connection.reset();
        }
        if (!caller.isProber) {
            caller.node = static_cast<int>(m_random.below(m_nodes.size()));
        }
        caller.requestsLeft = 3 + static_cast<int>(m_random.below(12));
    }
    auto &node = *m_nodes[static_cast<std::size_t>(caller.node)];
    const bool isKnownToStop
            = node.isStopping && millisBetween(node.stopBegan, bootNow()) > kReadinessLag;
    if ((isKnownToStop && !caller.connection) || !m_processes.isRunning(node.name)) {
        caller.connection.reset();
        pauseThenSend(caller);
        return;
    }
    sendRequest(caller);
}

SentRequest Soak::drawRequest(const Caller &caller)
{
    SentRequest sent;
    sent.id = "q" + std::to_string(m_nextId++);
    sent.node = caller.node;
    sent.isProbe = caller.isProber;
    sent.sentAt = bootNow();
    sent.deadline = Millis{1500 + static_cast<int>(m_random.below(1000))};
    sent.key = "k-free";
    sent.account = "free";
    if (caller.isProber) {
        sent.prefix = m_operator.probePrefix(m_random);
    } else {
        const auto draw = m_random.below(20);
        sent.kind = draw < 9 ? RouteKind::Read : draw < 18 ? RouteKind::Write : RouteKind::Download;
        sent.prefix = sent.kind == RouteKind::Read ? "/r/"
                : sent.kind == RouteKind::Write    ? "/w/"
                                                   : "/d/";
        const auto who = m_random.below(10);
        if (who < 3) {
            sent.key = "k-small";
            sent.account = "small";
        } else if (who == 3) {
            const auto revocable = static_cast<int>(m_random.below(Operator::kRevocableKeys));
            sent.key = Operator::revocableKey(revocable);
            sent.account = "revocable-" + std::to_string(revocable);
            const auto withdrawnAt = m_operator.withdrawnAt(revocable);
            sent.isRevoked = withdrawnAt.has_value();
            sent.keyWithdrawnAt = withdrawnAt.value_or(sent.keyWithdrawnAt);
        }
    }
    sent.expectedBytes = sent.kind == RouteKind::Download ? 20'000 + m_random.below(600'000)
                                                          : 100 + m_random.below(400);
    return sent;
}

void Soak::sendRequest(Caller &caller)
{
    auto sent = drawRequest(caller);
    http::Request request;
    request.method = sent.kind == RouteKind::Write ? "POST" : "GET";
    request.target = sent.prefix + std::to_string(sent.expectedBytes);
    request.headers
            = {{"Host", "soak.example"},
               {std::string{platform::kRequestIdHeader}, sent.id},
               {std::string{platform::kDeadlineHeader}, std::to_string(sent.deadline.count())},
               {std::string{platform::kAuthorizationHeader},
                std::string{platform::kBearerPrefix} + sent.key}};
    if (!caller.connection) {
        caller.connection = std::make_shared<http::ClientConnection>(
                m_context, Address{host(kPublicNetwork, caller.node), kCallerPort}, Millis{1000},
                std::size_t{8} << 20U, [](const http::ClientConnectionPtr &) {});
    }
    http::Exchange exchange;
    exchange.wire = http::serialize(request);
    exchange.done = [this, &caller, id = sent.id,
                     size = sent.expectedBytes](http::ExchangeEnd end, const http::Answer &answer) {
        onEnd(caller, id, size, end, answer);
    };
    const bool givesUp = m_random.below(30) == 0;
    const auto patience = givesUp ? Millis{static_cast<int>(m_random.below(200))} : sent.deadline;
    m_observations.requests.emplace(sent.id, std::move(sent));
    const auto connection = caller.connection;
    caller.deadline.expires_after(patience);
    caller.deadline.async_wait([connection](const boost::system::error_code &ec) {
        if (!ec) {
            connection->cancel();
        }
    });
    connection->send(std::move(exchange));
}

void Soak::onEnd(Caller &caller, const std::string &id, std::size_t size, http::ExchangeEnd end,
                 const http::Answer &answer)
{
    caller.deadline.cancel();
    auto &request = m_observations.requests.at(id);
    request.endedAt = bootNow();
    switch (end) {
    case http::ExchangeEnd::Answered:
        request.end = CallerEnd::Answered;
        request.status = answer.status;
        request.isSigned = http::countHeaders(answer.headers, platform::kServerStampHeader) > 0;
        request.bodyBytes = answer.body.size();
        request.isRightBody = http::findHeader(answer.headers, platform::kRequestIdHeader) == id
                && answer.body == bodyOf(id, size);
        break;
    case http::ExchangeEnd::NotSent:
        request.end = CallerEnd::NotConnected;
        break;
    case http::ExchangeEnd::Cancelled:
        request.end = CallerEnd::Left;
        break;
    default:
        request.end = CallerEnd::Closed;
    }
    if (caller.connection && caller.connection->isClosed()) {
        caller.connection.reset();
    }
    pauseThenSend(caller);
}

void Soak::pauseThenSend(Caller &caller)
{
    const int pause = caller.isProber ? kProbePauseMillis : kPauseMillis;
    caller.timer.expires_after(Millis{pause + static_cast<int>(m_random.below(60))});
    caller.timer.async_wait([this, &caller](const boost::system::error_code &ec) {
        if (!ec) {
            sendNext(caller);
        }
    });
}

} // namespace standin::soak
