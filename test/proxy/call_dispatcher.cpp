#include "proxy/call_dispatcher.h"

#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

/*! A service whose servers are in the local zone if their ids begin with `near`. */
class TestService final : public CandidateSource
{
public:
    explicit TestService(std::initializer_list<const char *> ids)
    {
        for (const auto *id : ids) {
            directory::BackendServer server;
            server.id = id;
            server.slots = 10;
            m_servers.push_back(server);
        }
    }

    [[nodiscard]] std::vector<Candidate>
    candidates(const std::string &, const std::set<std::string> &excluded, TimePoint) const override
    {
        std::vector<Candidate> pool;
        for (const auto &server : m_servers) {
            pool.push_back(
                    {&server, server.id.rfind("near", 0) == 0, excluded.count(server.id) > 0});
        }
        return pool;
    }

    DispatchContext dispatchContext() { return {m_picker, m_retries, *this}; }
    RetryBudget &retries() { return m_retries; }

private:
    std::vector<directory::BackendServer> m_servers;
    ServerPicker m_picker{1};
    RetryBudget m_retries{0.2, 10.0, 10.0};
};

CallPolicy policy(bool isIdempotent = true, int maxAttempts = 2)
{
    return {"stock", isIdempotent, maxAttempts, kStart + Millis{500}, kStart + Millis{1200}};
}

ReplyFrame refusal(Reason reason, bool reachedServer = false)
{
    ReplyFrame reply;
    reply.kind = ReplyKind::NotRun;
    reply.reason = reason;
    reply.reachedServer = reachedServer;
    reply.load = {10, 5, 10, 200, -1, 0};
    return reply;
}

ReplyFrame lost()
{
    ReplyFrame reply;
    reply.kind = ReplyKind::Failed;
    reply.reason = Reason::Lost;
    return reply;
}

ReplyFrame answered(int status)
{
    ReplyFrame reply;
    reply.kind = ReplyKind::Answer;
    reply.answer.status = status;
    return reply;
}

} // namespace

TEST_CASE("A call that is not idempotent is not retried once it may have run")
{
    TestService service{"near-1", "near-2"};
    CallDispatcher dispatcher{policy(false)};
    REQUIRE(std::holds_alternative<OfferStep>(dispatcher.begin(service.dispatchContext(), kStart)));
    const auto step = dispatcher.onReply(lost(), service.dispatchContext(), kStart + Millis{10});
    REQUIRE(std::get<GiveUpStep>(step).status == 502);
    REQUIRE_FALSE(std::get<GiveUpStep>(step).retryAfter);
}

TEST_CASE("A server error of a call that is not idempotent is forwarded unchanged")
{
    TestService service{"near-1", "near-2"};
    CallDispatcher dispatcher{policy(false)};
    static_cast<void>(dispatcher.begin(service.dispatchContext(), kStart));
    REQUIRE(std::holds_alternative<AnswerStep>(
            dispatcher.onReply(answered(500), service.dispatchContext(), kStart + Millis{10})));
}

TEST_CASE("An idempotent call is retried within its attempts")
{
    TestService service{"near-1", "near-2", "near-3"};
    CallDispatcher dispatcher{policy(true, 2)};
    const auto first = std::get<OfferStep>(dispatcher.begin(service.dispatchContext(), kStart));
    const auto second
            = std::get<OfferStep>(dispatcher.onReply(lost(), service.dispatchContext(), kStart));
    REQUIRE(first.server->id != second.server->id);
    const auto end
            = std::get<GiveUpStep>(dispatcher.onReply(lost(), service.dispatchContext(), kStart));
    REQUIRE(end.status == 502);
    REQUIRE(dispatcher.attempts() == 2);
}

TEST_CASE("A call that may have run is not reported as not run after a refusal by another server")
{
    TestService service{"near-1", "near-2"};
    CallDispatcher dispatcher{policy(true, 3)};
    static_cast<void>(dispatcher.begin(service.dispatchContext(), kStart));
    REQUIRE(std::holds_alternative<OfferStep>(
            dispatcher.onReply(lost(), service.dispatchContext(), kStart)));
    const auto end = dispatcher.onReply(refusal(Reason::Busy), service.dispatchContext(), kStart);
    REQUIRE(std::get<GiveUpStep>(end).status == 502);
}

TEST_CASE("Refusals by gates cost no attempt but refusals by servers do")
{
    TestService service{"near-1", "near-2", "near-3", "far-1"};
    CallDispatcher dispatcher{policy(false, 1)};
    static_cast<void>(dispatcher.begin(service.dispatchContext(), kStart));
    REQUIRE(std::holds_alternative<OfferStep>(
            dispatcher.onReply(refusal(Reason::Draining), service.dispatchContext(), kStart)));
    REQUIRE(dispatcher.attempts() == 0);
    const auto end
            = dispatcher.onReply(refusal(Reason::Shed, true), service.dispatchContext(), kStart);
    REQUIRE(std::get<GiveUpStep>(end).status == 503);
    REQUIRE(std::get<GiveUpStep>(end).retryAfter);
}

TEST_CASE("Pattern: retry storm - retries end when the budget is spent")
{
    TestService service{"near-1", "near-2", "near-3"};
    while (service.retries().trySpend("stock")) { }
    CallDispatcher dispatcher{policy(true, 3)};
    static_cast<void>(dispatcher.begin(service.dispatchContext(), kStart));
    REQUIRE(std::get<GiveUpStep>(dispatcher.onReply(lost(), service.dispatchContext(), kStart))
                    .status
            == 502);
}

// Guards against arrivals that the retry budget does not count: a server that has restarted rejects
// the id under which it is listed.
TEST_CASE("A rejection by a server with another id is an attempt and draws on the retry budget")
{
    TestService service{"near-1", "near-2", "near-3", "near-4"};
    int further = 0;
    for (int i = 0; i < 100; ++i) {
        CallDispatcher dispatcher{policy(i % 2 == 0, 3)};
        auto step = dispatcher.begin(service.dispatchContext(), kStart);
        while (std::holds_alternative<OfferStep>(step)) {
            step = dispatcher.onReply(refusal(Reason::WrongServer, true), service.dispatchContext(),
                                      kStart);
            further += std::holds_alternative<OfferStep>(step) ? 1 : 0;
        }
        REQUIRE(dispatcher.attempts() <= 3);
        REQUIRE(std::get<GiveUpStep>(step).status == 503); // it has not run
    }
    REQUIRE(further == 10); // all of the balance of this service
}

// Guards against a rejection, written once more by its server, that is taken for that of the same
// request when it comes there again.
TEST_CASE("A server that rejected a request itself is not offered it again")
{
    for (const auto reason : {Reason::WrongServer, Reason::Shed}) {
        TestService service{"near-1", "near-2", "near-3"};
        CallDispatcher dispatcher{policy(false, 3)};
        auto step = dispatcher.begin(service.dispatchContext(), kStart);
        const auto rejecting = std::get<OfferStep>(step).server->id;
        step = dispatcher.onReply(refusal(reason, true), service.dispatchContext(), kStart);
        while (std::holds_alternative<OfferStep>(step)) {
            REQUIRE(std::get<OfferStep>(step).server->id != rejecting);
            step = dispatcher.onReply(refusal(Reason::Busy), service.dispatchContext(), kStart);
        }
    }
}

TEST_CASE("Pattern: a large zone is full - other zones are tried before the offers are used up")
{
    TestService service{"near-1", "near-2", "near-3", "near-4", "near-5",
                        "near-6", "near-7", "near-8", "near-9", "far-1"};
    CallDispatcher dispatcher{policy()};
    auto step = dispatcher.begin(service.dispatchContext(), kStart);
    bool hasOfferedFar = false;
    for (int i = 0; i < 6 && std::holds_alternative<OfferStep>(step); ++i) {
        const auto &offer = std::get<OfferStep>(step);
        hasOfferedFar = hasOfferedFar || offer.server->id == "far-1";
        auto reply = refusal(Reason::Busy);
        reply.load.waiting = 100;
        step = dispatcher.onReply(reply, service.dispatchContext(), kStart);
    }
    REQUIRE(hasOfferedFar);
}

TEST_CASE("Pattern: overload - few gates are offered the call late and then it is refused")
{
    TestService service{"near-1", "near-2", "near-3", "near-4", "near-5", "near-6"};
    CallDispatcher dispatcher{policy()};
    auto step = dispatcher.begin(service.dispatchContext(), kStart);
    int late = 0;
    while (std::holds_alternative<OfferStep>(step)) {
        late += std::get<OfferStep>(step).mayBeLate ? 1 : 0;
        step = dispatcher.onReply(refusal(Reason::Busy), service.dispatchContext(), kStart);
    }
    REQUIRE(late == 4);
    const auto end = std::get<GiveUpStep>(step);
    REQUIRE(end.status == 503);
    REQUIRE(end.reason == Reason::Busy);
    REQUIRE(*end.retryAfter >= Millis{50});
}

TEST_CASE("A timeout at a gate ends as a timeout and a call without servers as not run")
{
    TestService service{"near-1"};
    CallDispatcher dispatcher{policy()};
    static_cast<void>(dispatcher.begin(service.dispatchContext(), kStart));
    REQUIRE(dispatcher.onTimeout(service.dispatchContext(), kStart + Millis{1200}).status == 504);

    TestService empty{};
    CallDispatcher other{policy()};
    const auto end = std::get<GiveUpStep>(other.begin(empty.dispatchContext(), kStart));
    REQUIRE(end.status == 503);
    REQUIRE(end.reason == Reason::NoServer);
}

TEST_CASE("Pattern: power returns - callers are told when a cold server may take them")
{
    TestService service{"near-1", "near-2"};
    CallDispatcher dispatcher{policy(true)};
    auto step = dispatcher.begin(service.dispatchContext(), kStart);
    auto reply = refusal(Reason::Busy);
    reply.load = {0, 2, 5, 100, 600, 0}; // slots are free, but the server is cold
    while (std::holds_alternative<OfferStep>(step)) {
        step = dispatcher.onReply(reply, service.dispatchContext(), kStart);
    }
    REQUIRE(std::get<GiveUpStep>(step).status == 503);
    REQUIRE(*std::get<GiveUpStep>(step).retryAfter == Millis{600});
}

TEST_CASE("Pattern: power returns - callers are told when the first server is warm")
{
    TestService service{"near-1", "near-2"};
    CallPolicy limits = policy(true);
    limits.callerDeadline = kStart + Millis{6000};
    CallDispatcher dispatcher{limits};
    auto step = dispatcher.begin(service.dispatchContext(), kStart);
    auto reply = refusal(Reason::Busy);
    reply.load.coldMillis = 1800;
    while (const auto *offer = std::get_if<OfferStep>(&step)) {
        reply.load.coldMillis = offer->server->id == "near-2" ? 1500 : 1800;
        step = dispatcher.onReply(reply, service.dispatchContext(), kStart);
    }
    REQUIRE(*std::get<GiveUpStep>(step).retryAfter == Millis{1500});
}

TEST_CASE("Pattern: one cold server of two - the queue of the warm one decides on the return")
{
    TestService service{"near-1", "near-2"};
    CallDispatcher dispatcher{policy(true)};
    auto step = dispatcher.begin(service.dispatchContext(), kStart);
    auto reply = refusal(Reason::Busy);
    while (const auto *offer = std::get_if<OfferStep>(&step)) {
        reply.load.coldMillis = offer->server->id == "near-2" ? 1500 : 0;
        step = dispatcher.onReply(reply, service.dispatchContext(), kStart);
    }
    REQUIRE(*std::get<GiveUpStep>(step).retryAfter <= Millis{100});
}

TEST_CASE("Pattern: many callers refused in one moment - they are told to return at several times")
{
    TestService service{"near-1"};
    std::set<std::int64_t> delays;
    for (const double jitter : {0.0, 0.25, 0.5, 1.0}) {
        auto limits = policy();
        limits.jitter = jitter;
        CallDispatcher dispatcher{limits};
        auto step = dispatcher.begin(service.dispatchContext(), kStart);
        while (std::holds_alternative<OfferStep>(step)) {
            step = dispatcher.onReply(refusal(Reason::Busy), service.dispatchContext(), kStart);
        }
        const auto delay = *std::get<GiveUpStep>(step).retryAfter;
        REQUIRE(delay >= Millis{100}); // 5 calls beyond 10 slots of 200 ms
        REQUIRE(delay <= Millis{200});
        delays.insert(delay.count());
    }
    REQUIRE(delays.size() == 4);
}

TEST_CASE("Pattern: overload everywhere - a call is refused after one gate has said so")
{
    TestService service{"near-1", "near-2", "near-3", "far-1", "far-2", "far-3"};
    auto overloaded = refusal(Reason::Busy);
    overloaded.load.isOverloaded = true;
    int offers = 0;
    for (int i = 0; i < 20; ++i) {
        CallDispatcher dispatcher{policy()};
        auto step = dispatcher.begin(service.dispatchContext(), kStart);
        while (std::holds_alternative<OfferStep>(step)) {
            step = dispatcher.onReply(overloaded, service.dispatchContext(), kStart);
        }
        offers = dispatcher.offers();
    }
    REQUIRE(offers == 1);
}

TEST_CASE("Pattern: overload everywhere - calls of running work are still offered to overloaded "
          "gates")
{
    TestService service{"near-1", "near-2", "near-3"};
    auto overloaded = refusal(Reason::Busy);
    overloaded.load.isOverloaded = true;
    int offers = 0;
    for (int i = 0; i < 20; ++i) {
        auto limits = policy();
        limits.isNested = true;
        CallDispatcher dispatcher{limits};
        auto step = dispatcher.begin(service.dispatchContext(), kStart);
        while (std::holds_alternative<OfferStep>(step)) {
            step = dispatcher.onReply(overloaded, service.dispatchContext(), kStart);
        }
        offers = dispatcher.offers();
    }
    REQUIRE(offers >= 3);
}

TEST_CASE("A report of overload that is old no longer keeps calls from a gate")
{
    TestService service{"near-1", "near-2"};
    auto overloaded = refusal(Reason::Busy);
    overloaded.load.isOverloaded = true;
    for (int i = 0; i < 20; ++i) {
        CallDispatcher dispatcher{policy()};
        auto step = dispatcher.begin(service.dispatchContext(), kStart);
        while (std::holds_alternative<OfferStep>(step)) {
            step = dispatcher.onReply(overloaded, service.dispatchContext(), kStart);
        }
    }
    const auto later = kStart + Millis{1500};
    auto limits = policy();
    limits.target = later + Millis{500};
    limits.deadline = later + Millis{1200};
    CallDispatcher dispatcher{limits};
    auto step = dispatcher.begin(service.dispatchContext(), later);
    step = dispatcher.onReply(refusal(Reason::Busy), service.dispatchContext(), later);
    REQUIRE(std::holds_alternative<OfferStep>(step));
}
