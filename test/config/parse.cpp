#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "config/limits.h"
#include "config/parse.h"
#include "support/sample_config.h"

using namespace celeryramp;
using nlohmann::json;
using testsupport::sampleParts;

namespace {

/*! Changes one part of a sample document and returns the validation error. */
ConfigError errorOf(const std::string &part, const std::function<void(json &)> &change)
{
    auto parts = sampleParts();
    auto document = json::parse(parts[part]);
    change(document);
    parts[part] = document.dump();
    const auto result = buildSnapshot(makeDocument(1, parts));
    REQUIRE_FALSE(result);
    return result.error();
}

} // namespace

TEST_CASE("a valid document gives a snapshot")
{
    const auto snapshot = testsupport::sampleSnapshot(7);
    REQUIRE(snapshot);
    REQUIRE(snapshot->stamp().version == 7);
    REQUIRE(snapshot->findRoute("/stock/42")->path == "/stock");
    REQUIRE(snapshot->findRoute("/stock/order/1")->path == "/stock/order");
    REQUIRE(snapshot->findRoute("/stocks") == nullptr);
    REQUIRE(snapshot->findRoute("/") == nullptr);
    REQUIRE(snapshot->serversOf("stock", "z1").size() == 2);
    REQUIRE(snapshot->isZoneInService("z0"));
    REQUIRE_FALSE(snapshot->isZoneInService("nowhere"));
}

TEST_CASE("keys are verified against their salted hash")
{
    const auto snapshot = testsupport::sampleSnapshot(1);
    REQUIRE(snapshot->findAccountByKey("k1.secret")->name == "acme");
    for (const auto *key : {"k1.wrong", "k2.secret", "k1", "", ".", "k1.", "secret"}) {
        CAPTURE(key);
        REQUIRE(snapshot->findAccountByKey(key) == nullptr);
    }
    REQUIRE(snapshot->isKeyGranted("k1", "acme"));
    REQUIRE_FALSE(snapshot->isKeyGranted("k1", "other"));
}

TEST_CASE("each error has a part and place and reason")
{
    SECTION("a wrong type")
    {
        const auto error = errorOf("accounts",
                                   [](json &part) { part["accounts"]["acme"]["rate"] = "fast"; });
        REQUIRE(error.code == ConfigErrorCode::WrongType);
        REQUIRE(error.text() == "accounts /accounts/acme/rate: must be a number");
    }
    SECTION("a value out of range")
    {
        const auto error
                = errorOf("accounts", [](json &part) { part["accounts"]["acme"]["rate"] = -1; });
        REQUIRE(error.code == ConfigErrorCode::OutOfRange);
        REQUIRE(error.place == "/accounts/acme/rate");
    }
    SECTION("an unknown member")
    {
        const auto error = errorOf("zones", [](json &part) { part["zones"]["z0"]["weight"] = 3; });
        REQUIRE(error.code == ConfigErrorCode::UnknownMember);
        REQUIRE(error.place == "/zones/z0/weight");
    }
    SECTION("a server in an undefined zone")
    {
        const auto error
                = errorOf("servers", [](json &part) { part["servers"]["s-z0-0"]["zone"] = "z9"; });
        REQUIRE(error.code == ConfigErrorCode::DanglingReference);
        REQUIRE(error.text() == "servers /servers/s-z0-0/zone: there is no zone named z9");
    }
    SECTION("a route to a service without servers")
    {
        const auto error = errorOf("services", [](json &part) {
            part["services"]["orders"] = json::object();
            part["routes"].push_back({{"path", "/orders"},
                                      {"service", "orders"},
                                      {"class", "lookup"},
                                      {"access", "open"}});
        });
        REQUIRE(error.code == ConfigErrorCode::DanglingReference);
        REQUIRE(error.place == "/routes/3/service");
    }
    SECTION("a key of an undefined account")
    {
        const auto error = errorOf("keys", [](json &part) { part["keys"]["k1"]["account"] = "x"; });
        REQUIRE(error.code == ConfigErrorCode::DanglingReference);
    }
    SECTION("an address that is not an IP address")
    {
        const auto error = errorOf("servers", [](json &part) {
            part["servers"]["s-z0-0"]["node"] = "host.example:1";
        });
        REQUIRE(error.place == "/servers/s-z0-0/node");
    }
    SECTION("a deadline below the latency target")
    {
        const auto error = errorOf(
                "services", [](json &part) { part["classes"]["lookup"]["deadline_ms"] = 10; });
        REQUIRE(error.place == "/classes/lookup/deadline_ms");
    }
}

TEST_CASE("truncated or missing or mis-hashed or oversized parts are rejected")
{
    SECTION("truncated")
    {
        auto parts = sampleParts();
        parts["keys"].resize(parts["keys"].size() / 2);
        REQUIRE(buildSnapshot(makeDocument(1, parts)).error().code == ConfigErrorCode::Syntax);
    }
    SECTION("missing from the manifest")
    {
        auto parts = sampleParts();
        parts.erase("keys");
        REQUIRE(buildSnapshot(makeDocument(1, parts)).error().code == ConfigErrorCode::MissingPart);
    }
    SECTION("missing from the document")
    {
        auto document = testsupport::sampleDocument(1);
        document.parts.erase("keys");
        REQUIRE(buildSnapshot(document).error().code == ConfigErrorCode::MissingPart);
    }
    SECTION("mis-hashed")
    {
        auto document = testsupport::sampleDocument(1);
        document.parts["keys"] += " ";
        REQUIRE(buildSnapshot(document).error().code == ConfigErrorCode::HashMismatch);
    }
    SECTION("oversized")
    {
        auto parts = sampleParts();
        parts["keys"].append(kMaxPartBytes, ' ');
        REQUIRE(buildSnapshot(makeDocument(1, parts)).error().code == ConfigErrorCode::TooLarge);
    }
}

TEST_CASE("a manifest survives a round trip through its text")
{
    const auto manifest = testsupport::sampleDocument(5).manifest;
    const auto again = parseManifest(manifestText(manifest));
    REQUIRE(again);
    REQUIRE(again.value().digest() == manifest.digest());
    for (const auto *text : {"", "[]", "{}", "{\"version\":0,\"parts\":{}}",
                             "{\"version\":1,\"parts\":{\"other\":\"\"}}",
                             "{\"version\":-1,\"parts\":{}}", "{\"version\":1.5,\"parts\":{}}"}) {
        CAPTURE(text);
        REQUIRE_FALSE(parseManifest(text));
    }
}

TEST_CASE("no bytes in a part break the parser and accepted documents have no dangling names")
{
    REQUIRE(rc::check("mutated parts", [] {
        auto parts = sampleParts();
        const auto name = *rc::gen::elementOf(
                std::vector<std::string>{"zones", "services", "accounts", "keys", "servers"});
        auto &bytes = parts[name];
        const auto mutations = *rc::gen::inRange(1, 8);
        for (int i = 0; i < mutations; ++i) {
            const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                bytes[place] = *rc::gen::arbitrary<char>();
                break;
            case 1:
                bytes.erase(place, *rc::gen::inRange<std::size_t>(1, 20));
                break;
            default:
                bytes.insert(place, *rc::gen::arbitrary<std::string>());
            }
            if (bytes.empty()) {
                bytes = "{";
            }
        }
        const auto result = buildSnapshot(makeDocument(1, parts));
        if (result) {
            for (const auto &route : result.value()->model().routes) {
                RC_ASSERT(result.value()->model().services.count(route.service) == 1U);
                RC_ASSERT(result.value()->findClass(route.workClass) != nullptr);
            }
            for (const auto &[id, key] : result.value()->model().keys) {
                RC_ASSERT(result.value()->findAccount(key.account) != nullptr);
            }
        }
    }));
}
