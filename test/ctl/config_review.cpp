#include "ctl/config_review.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "support/sample_config.h"

using namespace celeryramp;
using nlohmann::json;

namespace {

/*! @brief The sample configuration with one part edited. */
SnapshotPtr edited(const std::string &part, const std::function<void(json &)> &edit,
                   const testsupport::SampleShape &shape = {})
{
    auto parts = testsupport::sampleParts(shape);
    auto value = json::parse(parts.at(part));
    edit(value);
    parts[part] = value.dump();
    const auto snapshot = buildSnapshot(makeDocument(1, std::move(parts)));
    REQUIRE(snapshot);
    return snapshot.value();
}

/*! @return True if exactly this place has a note of this kind. */
bool hasOnly(const SnapshotPtr &snapshot, ReviewKind kind, const std::string &place)
{
    const auto notes = reviewConfig(*snapshot);
    return notes.size() == 1 && notes.front().kind == kind && notes.front().place == place
            && !notes.front().text.empty();
}

} // namespace

TEST_CASE("review: the sample configuration has no notes")
{
    REQUIRE(reviewConfig(*testsupport::sampleSnapshot(1)).empty());
}

TEST_CASE("review: entries that can never match are noted with their place")
{
    REQUIRE(hasOnly(edited("services",
                           [](json &part) { part["classes"]["slow"] = part["classes"]["lookup"]; }),
                    ReviewKind::NeverMatches, "/classes/slow"));
    REQUIRE(hasOnly(
            edited("services", [](json &part) { part["services"]["spare"] = json::object(); }),
            ReviewKind::NeverMatches, "/services/spare"));
    REQUIRE(hasOnly(edited("zones",
                           [](json &part) {
                               part["zones"]["z9"] = {{"region", "r"}, {"status", "in"}};
                           }),
                    ReviewKind::NeverMatches, "/zones/z9"));
    REQUIRE(hasOnly(edited("accounts",
                           [](json &part) {
                               part["accounts"]["new"] = {{"rate", 5}, {"burst", 50}};
                           }),
                    ReviewKind::NeverMatches, "/accounts/new"));
}

TEST_CASE("review: routes without a server in service are noted")
{
    const auto notes = reviewConfig(*edited("zones", [](json &part) {
        for (auto &zone : part["zones"]) {
            zone["status"] = "out";
        }
    }));
    REQUIRE(notes.size() == 3);
    REQUIRE(std::all_of(notes.begin(), notes.end(), [](const ReviewNote &note) {
        return note.kind == ReviewKind::NeverMatches && note.place.rfind("/routes/", 0) == 0;
    }));
}

TEST_CASE("review: an account whose key opens nothing is noted")
{
    REQUIRE(hasOnly(edited("services",
                           [](json &part) {
                               for (auto &route : part["routes"]) {
                                   route["access"] = "open";
                               }
                           }),
                    ReviewKind::NeverMatches, "/accounts/acme"));
}

TEST_CASE("review: routes for accounts without any key are noted and stay closed")
{
    const auto snapshot = edited("keys", [](json &part) { part["keys"] = json::object(); });
    const auto notes = reviewConfig(*snapshot);
    REQUIRE(std::any_of(notes.begin(), notes.end(),
                        [](const ReviewNote &note) { return note.place == "/keys"; }));
    REQUIRE(snapshot->findAccountByKey("k1.secret") == nullptr);
    REQUIRE(std::any_of(snapshot->model().routes.begin(), snapshot->model().routes.end(),
                        [](const Route &route) { return route.access == RouteAccess::Account; }));
}

TEST_CASE("review: limits that contradict each other are noted")
{
    // Three zones share a burst of one call.
    REQUIRE(hasOnly(testsupport::sampleSnapshot(1, {3, 2, 100.0, 1.0}), ReviewKind::Contradiction,
                    "/accounts/acme/burst"));
    REQUIRE(hasOnly(testsupport::sampleSnapshot(1, {1, 2, 100.0, 2.0}), ReviewKind::Contradiction,
                    "/accounts/acme/burst")
            == false);
    // Six servers with four slots end 480 calls of 50 ms a second.
    REQUIRE(hasOnly(testsupport::sampleSnapshot(1, {3, 2, 481.0, 500.0}), ReviewKind::Contradiction,
                    "/accounts/acme/rate"));
    REQUIRE(reviewConfig(*testsupport::sampleSnapshot(1, {3, 2, 480.0, 500.0})).empty());
    REQUIRE(hasOnly(
            edited("services", [](json &part) { part["classes"]["lookup"]["success"] = 1.0; }),
            ReviewKind::Contradiction, "/classes/lookup/success"));
}

TEST_CASE("comparison: equal configurations do not differ")
{
    const auto snapshot = testsupport::sampleSnapshot(1);
    REQUIRE(compareConfigs(snapshot->model(), testsupport::sampleSnapshot(2)->model()).empty());
}

TEST_CASE("comparison: removed, added and changed entries are told by name and member")
{
    const auto from = testsupport::sampleSnapshot(1);
    const auto to = edited("services", [](json &part) {
        part["routes"].erase(1);
        part["routes"].push_back(
                {{"path", "/new"}, {"service", "stock"}, {"class", "record"}, {"access", "open"}});
        part["classes"]["lookup"]["latency_ms"] = 80;
    });
    const auto changes = compareConfigs(from->model(), to->model());
    REQUIRE(changes.size() == 3);
    REQUIRE(changes[0].kind == ChangeKind::Removed);
    REQUIRE(changes[0].entity == "route /stock/order");
    REQUIRE(changes[1].kind == ChangeKind::Added);
    REQUIRE(changes[1].entity == "route /new");
    REQUIRE(changes[2].kind == ChangeKind::Changed);
    REQUIRE(changes[2].entity == "class lookup");
    REQUIRE(changes[2].detail == "latency_ms: 50 -> 80");
}
