#include "soak/configuration_check.h"

#include <catch2/catch.hpp>

using namespace standin::soak;
using celeryramp::Millis;
using celeryramp::TimePoint;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
const TimePoint kMax = TimePoint::max();

TimePoint at(int millis)
{
    return kStart + Millis{millis};
}

/*! @brief A run of one node: version 2 comes after 10 s, adds /new/, drops /old/ and key k2, and
 * moves /moved/ from stock to files. */
struct Run : Observations
{
    Run()
    {
        incarnations = {{nodeName(0), at(0), kMax}};
        versions = {{1,
                     at(0),
                     {{"/r/", "stock"}, {"/old/", "stock"}, {"/moved/", "stock"}},
                     {"k1", "k2"}},
                    {2,
                     at(10'000),
                     {{"/r/", "stock"}, {"/new/", "stock"}, {"/moved/", "files"}},
                     {"k1"}}};
        confirmed = {{"1", at(0), kMax}, {"2", at(10'000), kMax}};
    }

    void refuse(int sentAt, const char *prefix, int status, const char *key = "k1")
    {
        auto &request = send(sentAt, prefix, key);
        request.status = status;
    }

    void serve(int sentAt, const char *prefix, const char *service = "stock",
               const char *key = "k1")
    {
        auto &request = send(sentAt, prefix, key);
        request.status = 200;
        request.isSigned = true;
        executions.push_back(
                {request.id, "s1", "a", "free", at(sentAt + 5), at(sentAt + 9), service});
    }

    [[nodiscard]] std::string broken() const
    {
        std::string names;
        for (const auto &violation : checkConfiguration(*this, {})) {
            names += (names.empty() ? "" : " ") + violation.promise;
        }
        return names;
    }

private:
    SentRequest &send(int sentAt, const char *prefix, const char *key)
    {
        const auto id = "q" + std::to_string(requests.size());
        auto &request = requests[id];
        request.id = id;
        request.prefix = prefix;
        request.key = key;
        request.account = "free";
        request.sentAt = at(sentAt);
        request.endedAt = at(sentAt + 10);
        request.end = CallerEnd::Answered;
        return request;
    }
};

} // namespace

TEST_CASE(
        "soak configuration: what the old version allows passes until it is due and the new after")
{
    Run run;
    run.serve(9000, "/old/");
    run.refuse(9000, "/new/", 404);
    run.serve(11'900, "/old/");
    run.serve(11'900, "/r/", "stock", "k2");
    run.refuse(11'950, "/new/", 404);
    run.serve(12'100, "/new/");
    run.serve(12'100, "/moved/", "files");
    run.refuse(12'600, "/old/", 404);
    run.refuse(12'600, "/r/", 401, "k2");
    run.refuse(12'600, "/r/", 503);
    REQUIRE(run.broken().empty());
}

TEST_CASE("soak configuration: a confirmed version that is not in force is reported")
{
    Run run;
    SECTION("an added route is missing")
    {
        run.refuse(12'100, "/new/", 404);
    }
    SECTION("a dropped route is used")
    {
        run.serve(12'100, "/old/");
    }
    SECTION("a withdrawn key is used")
    {
        run.serve(12'100, "/r/", "stock", "k2");
    }
    SECTION("a moved route is run by its former service")
    {
        run.serve(12'100, "/moved/");
    }
    REQUIRE(run.broken() == "configuration");
}

TEST_CASE("soak configuration: nodes that are not in touch are excused for a while")
{
    Run run;
    SECTION("the node was disturbed")
    {
        run.disturbances = {{nodeName(0), at(9000), at(9200)}};
    }
    SECTION("the node started")
    {
        run.incarnations = {{nodeName(0), at(9200), kMax}};
    }
    SECTION("the store was away")
    {
        run.disturbances = {{kStoreDown, at(9000), at(9200)}};
    }
    SECTION("the store turned some away")
    {
        run.disturbances = {{kStorePartial, at(12'150), at(14'900)}};
        run.refuse(16'900, "/new/", 404);
    }
    run.refuse(12'150, "/new/", 404);
    REQUIRE(run.broken().empty());
    run.refuse(18'000, "/new/", 404);
    REQUIRE(run.broken() == "configuration");
}

TEST_CASE("soak configuration: disturbances of others excuse nothing")
{
    Run run;
    run.disturbances = {{nodeName(1), at(9000), at(15'000)}, {kServers, at(9000), at(15'000)}};
    run.refuse(12'100, "/new/", 404);
    REQUIRE(run.broken() == "configuration");
}

TEST_CASE("soak configuration: a version that the store lost binds again once it is written again")
{
    Run run;
    run.confirmed = {{"1", at(0), kMax}, {"2", at(10'000), at(11'000)}, {"2", at(13'000), kMax}};
    run.refuse(14'900, "/new/", 404);
    REQUIRE(run.broken().empty());
    run.refuse(15'100, "/new/", 404);
    REQUIRE(run.broken() == "configuration");
}

TEST_CASE("soak configuration: a node that has shown a version does not go back")
{
    Run run;
    run.confirmed = {{"1", at(0), kMax}, {"2", at(10'000), at(10'500)}};
    run.serve(10'100, "/new/");
    SECTION("requests may cross one another")
    {
        run.serve(10'300, "/old/");
        REQUIRE(run.broken().empty());
    }
    SECTION("later ones may not")
    {
        run.serve(10'400, "/old/");
        REQUIRE(run.broken() == "regression");
    }
    SECTION("a slowed node has more time")
    {
        run.disturbances = {{nodeName(0), at(10'200), at(10'300)}};
        run.serve(12'000, "/old/");
        REQUIRE(run.broken().empty());
        run.serve(12'200, "/old/");
        REQUIRE(run.broken() == "regression");
    }
    SECTION("its next process may know an older one")
    {
        run.incarnations = {{nodeName(0), at(0), at(10'600)}, {nodeName(0), at(10'700), kMax}};
        run.serve(11'000, "/old/");
        REQUIRE(run.broken().empty());
    }
    SECTION("a store that is away excuses nothing")
    {
        run.disturbances = {{kStoreDown, at(10'200), at(10'500)}};
        run.refuse(12'000, "/moved/", 404);
        run.serve(12'000, "/moved/");
        REQUIRE(run.broken() == "denied regression");
    }
}

TEST_CASE("soak configuration: what no version allows is reported also of disturbed nodes")
{
    Run run;
    run.disturbances = {{nodeName(0), at(0), at(15'000)}};
    SECTION("a proper request is denied")
    {
        const int status = GENERATE(401, 403, 404);
        run.refuse(9000, "/r/", status);
        REQUIRE(run.broken() == "denied");
    }
    SECTION("a route that never was is served")
    {
        run.serve(9000, "/never/");
        REQUIRE(run.broken() == "route");
    }
    SECTION("a version has effect before it was sent")
    {
        run.serve(9000, "/new/");
        REQUIRE(run.broken() == "route");
    }
}

TEST_CASE("soak configuration: added routes are served about as often as the first ones")
{
    Run run;
    run.calmFrom = at(20'000);
    const int n = GENERATE(4, 6);
    for (int i = 0; i < 20; ++i) {
        run.serve(20'100 + i, "/r/");
        if (i < n) {
            run.serve(20'100 + i, "/new/");
        } else {
            run.refuse(20'100 + i, "/new/", 503);
        }
    }
    REQUIRE(run.broken() == (n == 4 ? "added-routes" : ""));
}
