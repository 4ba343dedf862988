#include "soak/store.h"

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "http/client_connection.h"
#include "names.h"
#include "support/event_loop.h"

using namespace celeryramp;
using standin::soak::Refusal;
using standin::soak::Store;
using standin::soak::StoreLimits;
using standin::soak::StoreState;
using Json = nlohmann::json;

namespace {

const Address kFirst{"127.0.0.63", 17806};
const Address kSecond{"127.0.0.64", 17806};
constexpr Millis kPatience{1000};

struct Call
{
    bool isEnded = false;
    http::ExchangeEnd end = http::ExchangeEnd::NotSent;
    http::Answer answer;
    http::ClientConnectionPtr connection;

    [[nodiscard]] std::string era() const
    {
        return std::string{http::findHeader(answer.headers, platform::kStoreEraHeader)};
    }
};

struct Fixture
{
    Fixture() { store.listen(kSecond); }

    std::shared_ptr<Call> begin(const std::string &target, const Address &address = kFirst)
    {
        auto call = std::make_shared<Call>();
        call->connection = std::make_shared<http::ClientConnection>(
                context, address, kPatience, std::size_t{1} << 22U,
                [](const http::ClientConnectionPtr &) {});
        http::Request request;
        request.method = "GET";
        request.target = target;
        request.headers.push_back({"Host", address.text()});
        http::Exchange exchange;
        exchange.wire = http::serialize(request);
        exchange.done = [call](http::ExchangeEnd end, const http::Answer &answer) {
            call->isEnded = true;
            call->end = end;
            call->answer = answer;
        };
        call->connection->send(std::move(exchange));
        return call;
    }

    /*! @return The call once it has ended, or after some time without an end. */
    std::shared_ptr<Call> get(const std::string &target, const Address &address = kFirst)
    {
        auto call = begin(target, address);
        static_cast<void>(test::runUntil(
                context, [&] { return call->isEnded; }, kPatience));
        return call;
    }

    boost::asio::io_context context;
    Store store{context, kFirst};
};

Json bodyOf(const Call &call)
{
    return Json::parse(call.answer.body);
}

std::string watchAfter(std::int64_t revision)
{
    return "/-/kv-watch?Prefix=&after=" + std::to_string(revision) + "&WaitMs=30000";
}

} // namespace

TEST_CASE("Soak store: restored from a copy it names the next era and gives out revisions again")
{
    Fixture fixture;
    const auto kept = fixture.store.put("op/config", "kept");
    const auto copy = fixture.store.copy();
    const auto lost = fixture.store.put("op/config", "lost");
    const auto waiting = fixture.begin(watchAfter(lost));
    REQUIRE_FALSE(test::runUntil(
            fixture.context, [&] { return waiting->isEnded; }, Millis{100}));
    fixture.store.restore(copy);
    REQUIRE(test::runUntil(
            fixture.context, [&] { return waiting->isEnded; }, kPatience));
    CHECK(waiting->end == http::ExchangeEnd::Lost);

    const auto list = fixture.get("/-/kv-range?Prefix=");
    CHECK(list->era() == "2");
    CHECK(bodyOf(*list).at("CurrentRev") == kept);
    const auto gone = fixture.get(watchAfter(lost));
    CHECK(gone->answer.status == 410);
    CHECK(gone->era() == "2");
    CHECK(fixture.store.put("op/config", "next") == lost);
    CHECK(bodyOf(*fixture.get(watchAfter(kept))).at("events").size() == 1);
}

TEST_CASE("Soak store: all of its answers name the era")
{
    Fixture fixture;
    CHECK(fixture.get("/-/kv-key?Key=none")->answer.status == 404);
    CHECK(fixture.get("/-/kv-key?Key=none")->era() == "1");
    StoreState state;
    state.isBusy = true;
    fixture.store.setState(state);
    const auto busy = fixture.get("/-/kv-range?Prefix=");
    CHECK(busy->answer.status == 503);
    CHECK(busy->era() == "1");
    CHECK(fixture.store.calls().refused == 1);
}

TEST_CASE("Soak store: pages and prefixes of lists")
{
    Fixture fixture;
    StoreLimits limits;
    limits.pageItems = 2;
    fixture.store.setLimits(limits);
    for (const char *key : {"op/config", "servers/a", "servers/b", "servers/c d"}) {
        fixture.store.put(key, key);
    }
    const auto first = bodyOf(*fixture.get("/-/kv-range?Prefix=servers%2F"));
    CHECK(first.at("items").size() == 2);
    CHECK(first.at("items").at(0).at("Key") == "servers/a");
    CHECK(first.at("Truncated") == true);
    const auto second = bodyOf(*fixture.get("/-/kv-range?Prefix=servers/&after=servers/b"));
    CHECK(second.at("items").size() == 1);
    CHECK(second.at("items").at(0).at("Key") == "servers/c d");
    CHECK(second.at("Truncated") == false);
    CHECK(bodyOf(*fixture.get("/-/kv-key?Key=servers/c%20d")).at("Value") == "c2VydmVycy9jIGQ=");
    CHECK(bodyOf(*fixture.get("/-/kv-watch?Prefix=op/&after=10&WaitMs=0")).at("events").size()
          == 1);
}

TEST_CASE("Soak store: an address at which it is not reachable")
{
    Fixture fixture;
    StoreState state;
    state.refusedAt = {kSecond.host};
    const auto status = [&](Refusal refusal) {
        state.refusal = refusal;
        fixture.store.setState(state);
        CHECK(fixture.get("/-/kv-range?Prefix=")->answer.status == 200);
        const auto call = fixture.get("/-/kv-range?Prefix=", kSecond);
        return call->isEnded ? call->answer.status : -1;
    };
    CHECK(status(Refusal::Unavailable) == 503);
    CHECK(status(Refusal::TooManyRequests) == 429);
    CHECK(status(Refusal::Reset) == 0);
    CHECK(status(Refusal::NoResponse) == -1);
    state = {};
    state.isAway = true;
    fixture.store.setState(state);
    const auto away = fixture.get("/-/kv-range?Prefix=");
    CHECK(away->isEnded);
    CHECK(away->answer.status == 0);
}

TEST_CASE("Soak store: reading calls beyond its limit get status 429")
{
    Fixture fixture;
    StoreLimits limits;
    limits.readsPerSecond = 2;
    fixture.store.setLimits(limits);
    int refused = 0;
    for (int i = 0; i < 4; ++i) {
        const auto call = fixture.get("/-/kv-range?Prefix=");
        refused += call->answer.status == 429 && call->era() == "1" ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(fixture.store.calls().refused == refused);
    CHECK(fixture.store.calls().total() == 4);
}

TEST_CASE("Soak store: a connection on which an answer was lost returns nothing further")
{
    Fixture fixture;
    StoreState state;
    state.losesAnswers = true;
    fixture.store.setState(state);
    const auto lost = fixture.get("/-/kv-range?Prefix=");
    CHECK_FALSE(lost->isEnded);
    fixture.store.setState({});
    CHECK_FALSE(test::runUntil(
            fixture.context, [&] { return lost->isEnded; }, Millis{100}));
    CHECK(fixture.get("/-/kv-range?Prefix=")->answer.status == 200);

    const auto waiting = fixture.begin(watchAfter(fixture.store.revision()));
    CHECK_FALSE(test::runUntil(
            fixture.context, [&] { return waiting->isEnded; }, Millis{100}));
    fixture.store.cutWatches();
    CHECK(test::runUntil(
            fixture.context, [&] { return waiting->isEnded; }, kPatience));
}
