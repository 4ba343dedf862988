#include "platform_header_adapter.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::platform;

TEST_CASE("Caller headers are parsed and invalid values are ignored")
{
    const PlatformHeaderAdapter headerAdapter;
    const auto metadata = headerAdapter.readCaller(
            {{"attempt-id", "r1"}, {"Deadline-Ms", "1200"}, {"Authorization", "bearer k1"}});
    REQUIRE(metadata.requestId == "r1");
    REQUIRE(metadata.deadline == Millis{1200});
    REQUIRE(metadata.key == "k1");
    const auto none
            = headerAdapter.readCaller({{"Deadline-Ms", "-4"}, {"Authorization", "Basic k1"}});
    REQUIRE(none.requestId.empty());
    REQUIRE_FALSE(none.deadline);
    REQUIRE_FALSE(none.key);
}

TEST_CASE("The id of a call names the request that it is sent for")
{
    const PlatformHeaderAdapter headerAdapter;
    const auto parentOf = [&headerAdapter](const char *id) {
        return headerAdapter.readCaller({{"Attempt-Id", id}}).parentId;
    };
    REQUIRE(parentOf("9c41d07b.7603cd33") == "9c41d07b");
    REQUIRE(parentOf("9c41d07b.7603cd33.01") == "9c41d07b.7603cd33");
    REQUIRE(parentOf("9c41d07b").empty());
    REQUIRE(parentOf("").empty());
    REQUIRE(parentOf(".x").empty());
}

TEST_CASE("Forged mesh headers are replaced and the API key is not forwarded to the server")
{
    const PlatformHeaderAdapter headerAdapter;
    proxy::CallFrame call;
    call.serverId = "i-1";
    call.account = "mill";
    call.callerService = "stock";
    call.request.headers = {{"Tenant", "forged"},
                            {"authorization", "Bearer k1"},
                            {"Caller-Service", "forged"},
                            {"Target-Instance", "forged"},
                            {"Deadline-Ms", "99999"},
                            {"Attempt-Id", "r1"},
                            {"X-Own", "kept"}};
    headerAdapter.stripCaller(call.request.headers);
    const auto request = headerAdapter.toServer(call, Millis{700});
    REQUIRE(http::findHeader(request.headers, "Tenant") == "mill");
    REQUIRE(http::countHeaders(request.headers, "Tenant") == 1);
    REQUIRE(http::findHeader(request.headers, "Caller-Service") == "stock");
    REQUIRE(http::countHeaders(request.headers, "Caller-Service") == 1);
    REQUIRE(http::findHeader(request.headers, "Target-Instance") == "i-1");
    REQUIRE(http::findHeader(request.headers, "Deadline-Ms") == "700");
    REQUIRE(http::countHeaders(request.headers, "Authorization") == 0);
    REQUIRE(http::findHeader(request.headers, "Attempt-Id") == "r1");
    REQUIRE(http::findHeader(request.headers, "X-Own") == "kept");
    call.account.clear();
    REQUIRE(http::countHeaders(headerAdapter.toServer(call, Millis{700}).headers, "Tenant") == 0);
}

TEST_CASE(
        "Response headers tell whether the request ran and which server and request they belong to")
{
    const PlatformHeaderAdapter headerAdapter;
    http::Answer answer;
    answer.status = 503;
    answer.headers = {{"Not-Executed", "1"}, {"Attempt-Id", "r1"}};
    REQUIRE(headerAdapter.readAnswer(answer).isNotRun);
    REQUIRE_FALSE(headerAdapter.readAnswer(answer).isSigned);
    answer.status = 421;
    answer.headers = {{"Instance-Id", "i-2"}};
    REQUIRE(headerAdapter.readAnswer(answer).isOtherServer);
    REQUIRE(headerAdapter.readAnswer(answer).serverId == "i-2");
    answer.status = 200;
    answer.headers = {{"Server-Stamp", "x"}, {"Cold-Ms", "1500"}};
    REQUIRE(headerAdapter.readAnswer(answer).isSigned);
    REQUIRE(headerAdapter.readAnswer(answer).coldFor == Millis{1500});
}

TEST_CASE("Responses of the mesh carry the request id and Retry-After in seconds")
{
    const PlatformHeaderAdapter headerAdapter;
    const auto answer = headerAdapter.localAnswer({503, proxy::Reason::Busy, "r1", Millis{250}});
    REQUIRE(http::findHeader(answer.headers, "Retry-After") == "0.250");
    REQUIRE(http::findHeader(answer.headers, "Attempt-Id") == "r1");
    REQUIRE(http::countHeaders(answer.headers, "Server-Stamp") == 0);
}

// Guards against limits of servers that nothing reads.
TEST_CASE("The limit that a server names is read and nothing else is taken for one")
{
    const PlatformHeaderAdapter adapter;
    const auto limit = [&adapter](const char *text) {
        http::Answer answer;
        answer.headers = {{"server-limit", text}};
        return adapter.readAnswer(answer).rateLimit;
    };
    REQUIRE(limit("20.25") == 20.25);
    REQUIRE(limit("7") == 7.0);
    REQUIRE(limit("0") == 0.0);
    for (const auto *text : {"", "-1", "nan", "inf", "1e999", "12x", "many"}) {
        CAPTURE(text);
        REQUIRE_FALSE(limit(text));
    }
    REQUIRE_FALSE(adapter.readAnswer({}).rateLimit);
}

// Guards against announcements of servers that nothing reads.
TEST_CASE("A server announces in its answers that it leaves")
{
    const PlatformHeaderAdapter adapter;
    http::Answer answer;
    REQUIRE_FALSE(adapter.readAnswer(answer).isLeaving);
    answer.headers = {{"server-leaving", "1"}};
    REQUIRE(adapter.readAnswer(answer).isLeaving);
}
