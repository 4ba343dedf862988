#include "store_source.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "support/event_loop.h"
#include "support/scripted_server.h"

using namespace celeryramp;
using directory::SourcePosition;
using platform::StoreSource;
using Script = test::ScriptedServer::Script;

namespace {

const Address kStore{"127.0.0.63", 17805};
constexpr Millis kSoon{1500};
/*! Attempts in `kWhile` with the pauses of `directory::readBackoff`, which grow to 0.4 s on
 * average; each is a list and a watch, or two pages. */
constexpr std::size_t kMaxAttempts = 10;
constexpr std::size_t kMaxCalls = 2 * kMaxAttempts;
constexpr Millis kWhile{2000};

/*! @brief Sink with the rules of a replica for states of other eras. */
class EraSink final : public directory::ItemSink
{
public:
    [[nodiscard]] bool onList(const std::vector<directory::ItemChange> &items,
                              const SourcePosition &position, TimePoint /*requestedAt*/) override
    {
        if (refusesLists || position < held) {
            ++refused;
            return false;
        }
        held = position;
        lists.push_back(items);
        return true;
    }
    [[nodiscard]] bool onChanges(const std::vector<directory::ItemChange> &items,
                                 const SourcePosition &position, TimePoint /*requestedAt*/) override
    {
        if (position.era != held.era) {
            ++refused;
            return false;
        }
        held = std::max(held, position);
        changes.insert(changes.end(), items.begin(), items.end());
        return true;
    }
    void onSourceFailed(const std::string & /*reason*/, TimePoint /*requestedAt*/) override
    {
        ++failures;
    }
    void onSourceEra(std::int64_t era) override { eras.push_back(era); }
    void onResponseRejected(std::string_view /*reason*/) override { }
    [[nodiscard]] SourcePosition heldPosition() const override { return held; }
    [[nodiscard]] std::optional<Millis> readPause() const override { return Millis{0}; }
    [[nodiscard]] std::size_t failingPeers() const override { return 0; }

    SourcePosition held;
    bool refusesLists = false;
    std::vector<std::vector<directory::ItemChange>> lists;
    std::vector<directory::ItemChange> changes;
    std::vector<std::int64_t> eras;
    int refused = 0;
    int failures = 0;
};

/*! @return An item, or with `Removed` the removal of one, as the store writes it. */
std::string item(const std::string &key, int revision)
{
    return R"({"Key":")" + key + R"(","Revision":)" + std::to_string(revision) + R"(,"Value":""})";
}

Script response(const std::string &era, const std::string &body, int status = 200)
{
    const auto header = era == "none" ? std::string{} : "Store-Era: " + era + "\r\n";
    return {"HTTP/1.1 " + std::to_string(status) + " Status\r\n" + header
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

Script list(const std::string &era, int revision, const std::string &items = {},
            bool isTruncated = false)
{
    return response(era,
                    R"({"items":[)" + items + R"(],"Truncated":)" + (isTruncated ? "true" : "false")
                            + R"(,"CurrentRev":)" + std::to_string(revision) + "}");
}

Script changes(const std::string &era, int revision, const std::string &events = {})
{
    return response(
            era, R"({"events":[)" + events + R"(],"CurrentRev":)" + std::to_string(revision) + "}");
}

Script gone(const std::string &era)
{
    return response(era, "{}", 410);
}

Script after(Millis delay, Script script)
{
    script.delay = delay;
    return script;
}

/*! @brief A reader of a store that answers by a script, and then no watch any more. */
struct Fixture
{
    /*! @param scripts Responses in order; the last one is repeated if `isRepeated`. */
    explicit Fixture(std::vector<Script> scripts, bool isRepeated = false)
    {
        server.setRespond([this, scripts = std::move(scripts), isRepeated](const auto &request) {
            targets.push_back(request.target);
            const auto i = targets.size() - 1;
            if (i < scripts.size()) {
                return scripts[i];
            }
            return isRepeated ? scripts[scripts.size() - 2 + i % 2] : Script{};
        });
        source.start(sink);
    }
    ~Fixture() { source.stop(); }

    bool runUntil(const std::function<bool()> &condition, Millis most = kSoon)
    {
        return test::runUntil(context, condition, most);
    }
    [[nodiscard]] bool isWatch(std::size_t i) const
    {
        return targets.at(i).find("watch") != std::string::npos;
    }
    [[nodiscard]] bool isWatchAfter(std::size_t i, int revision) const
    {
        return isWatch(i)
                && targets[i].find("&after=" + std::to_string(revision) + "&") != std::string::npos;
    }

    boost::asio::io_context context;
    test::ScriptedServer server{context, kStore, "store"};
    std::vector<std::string> targets; /*!< Of the requests. */
    EraSink sink;
    StoreSource source{context, kStore, 7};
};

} // namespace

// Guards against changes of a new era that are applied to the state of the former one.
TEST_CASE("Store era: a watch answered in a later era is followed by a list at once")
{
    const auto answer = GENERATE(
            values<Script>({changes("2", 70, item("a", 70)), changes("2", 50), changes("2", 20),
                            after(Millis{100}, changes("2", 50)), gone("2")}));
    Fixture it{{list("1", 50), answer, list("2", 60, item("b", 20))}};
    REQUIRE(it.runUntil([&] { return it.targets.size() == 4; }));
    CHECK(it.isWatchAfter(1, 50));
    CHECK_FALSE(it.isWatch(2));
    CHECK(it.isWatchAfter(3, 60));
    CHECK(it.sink.changes.empty());
    CHECK(it.sink.held == SourcePosition{2, 60});
    CHECK(it.sink.lists.back().at(0).position() == SourcePosition{2, 20});
    CHECK(it.sink.eras == std::vector<std::int64_t>{1, 2, 2});
    CHECK(it.sink.failures == 0);
}

TEST_CASE("Store era: changes of the era of the list are applied")
{
    Fixture it{{list("2", 50), changes("2", 52, item("a", 51)), changes("2", 54)}};
    REQUIRE(it.runUntil([&] { return it.targets.size() == 4; }));
    CHECK(it.isWatchAfter(3, 54));
    CHECK(it.sink.changes.at(0).position() == SourcePosition{2, 51});
    CHECK(it.sink.held == SourcePosition{2, 54});
}

// Guards against state that nothing vouches for: an answer without an era from a store that names
// it otherwise.
TEST_CASE("Store era: an answer without an era is not used once the store has named one")
{
    const std::string era = GENERATE(as<std::string>{}, "none", "", "two", "-1");
    CAPTURE(era);
    SECTION("answer to a watch")
    {
        Fixture it{{list("2", 50), changes(era, 52, item("a", 51)), changes("2", 53)}};
        REQUIRE(it.runUntil([&] { return it.sink.held == SourcePosition{2, 53}; }));
        CHECK(it.isWatchAfter(2, 50));
        CHECK(it.sink.changes.empty());
        CHECK(it.sink.failures == 1);
    }
    SECTION("answer to a watch after a peer has brought a later era")
    {
        Fixture it{{list("1", 50), after(Millis{150}, changes(era, 55, item("a", 55))),
                    changes("2", 12)}};
        REQUIRE(it.runUntil([&] { return it.targets.size() == 2; }));
        it.sink.held = {2, 10};
        REQUIRE(it.runUntil([&] { return it.sink.held == SourcePosition{2, 12}; }));
        CHECK(it.isWatchAfter(2, 10));
        CHECK(it.sink.changes.empty());
    }
    SECTION("list")
    {
        Fixture it{{list("2", 50), gone("2"), list(era, 70, item("a", 60)), list("3", 20)}};
        REQUIRE(it.runUntil([&] { return it.sink.held == SourcePosition{3, 20}; }));
        CHECK(it.sink.lists.size() == 2);
    }
}

// Guards against one state that is put together from two histories.
TEST_CASE("Store era: a list whose pages are of two eras is read again")
{
    const auto second = GENERATE(
            values<Script>({list("2", 50, item("b", 20)), list("none", 50, item("b", 20)),
                            list("1", 40, item("b", 20))}));
    Fixture it{{list("1", 50, item("a", 10), true), second, list("2", 45, item("c", 30))}};
    REQUIRE(it.runUntil([&] { return it.targets.size() == 4; }));
    CHECK(it.targets[1].find("after=a") != std::string::npos);
    CHECK(it.targets[2].find("after=") == std::string::npos);
    REQUIRE(it.sink.lists.size() == 1);
    CHECK(it.sink.lists[0].at(0).key == "c");
    CHECK(it.sink.held == SourcePosition{2, 45});
}

TEST_CASE("Store era: changes between the pages of a list do not end it")
{
    Fixture it{{list("1", 50, item("a", 10), true), list("1", 52, item("b", 51))}};
    REQUIRE(it.runUntil([&] { return it.targets.size() == 3; }));
    CHECK(it.isWatchAfter(2, 50));
    REQUIRE(it.sink.lists.size() == 1);
    CHECK(it.sink.lists[0].size() == 2);
}

// Guards against a late answer that takes a node back, or that confirms state of another era.
TEST_CASE("Store era: an answer of the former era is not used once a peer has brought a later one")
{
    const Millis kLate{150};
    std::vector<Script> scripts{list("1", 50)};
    std::size_t requests = 2;
    SECTION("answer to a watch")
    {
        scripts.push_back(after(kLate, changes("1", 55, item("a", 55))));
    }
    SECTION("list")
    {
        scripts.push_back(gone("1"));
        scripts.push_back(after(kLate, list("1", 55, item("a", 55))));
        requests = 3;
    }
    scripts.push_back(list("2", 12));
    scripts.push_back(list("2", 12));
    Fixture it{scripts};
    REQUIRE(it.runUntil([&] { return it.targets.size() == requests; }));
    it.sink.held = {2, 10};
    REQUIRE(it.runUntil([&] { return it.sink.held == SourcePosition{2, 12}; }));
    CHECK(it.sink.refused == 1);
    CHECK(it.sink.changes.empty());
    CHECK(it.sink.lists.size() == 2);
}

// Guards against a reader without pause, whose calls take the share of all others.
TEST_CASE("Store era: a reader that finds nothing usable pauses longer and longer")
{
    std::vector<Script> scripts;
    bool refusesLists = false;
    SECTION("refused lists")
    {
        scripts = {list("1", 50), list("1", 50)};
        refusesLists = true;
    }
    SECTION("lost history")
    {
        scripts = {list("1", 50), gone("1")};
    }
    SECTION("another era in each watch")
    {
        scripts = {list("1", 50), changes("2", 50)};
    }
    SECTION("a lower revision in each watch")
    {
        scripts = {list("1", 50), changes("1", 40)};
    }
    SECTION("pages of two eras")
    {
        scripts = {list("1", 50, item("a", 10), true), list("2", 50)};
    }
    Fixture it{scripts, true};
    it.sink.refusesLists = refusesLists;
    CHECK_FALSE(it.runUntil([&] { return it.targets.size() > kMaxCalls; }, kWhile));
    CHECK(it.sink.failures > 0);
}

// Guards against a reader that stays slow after a store has come back.
TEST_CASE("Store era: a usable answer ends the pauses")
{
    std::vector<Script> scripts;
    for (int i = 0; i < 3; ++i) {
        scripts.push_back(list("1", 50));
        scripts.push_back(gone("1"));
    }
    scripts.push_back(list("2", 60));
    scripts.push_back(changes("2", 61));
    scripts.push_back(gone("2"));
    scripts.push_back(list("3", 55));
    Fixture it{scripts};
    REQUIRE(it.runUntil([&] { return it.sink.held == SourcePosition{2, 61}; }, kWhile));
    const auto failures = it.sink.failures;
    REQUIRE(it.runUntil([&] { return it.sink.held == SourcePosition{3, 55}; }));
    CHECK(it.sink.failures == failures);
}

// Guards against a store of another kind that goes back unnoticed.
TEST_CASE("Store era: a store without eras has a new one when its revision falls")
{
    const auto answer = GENERATE(values<Script>({gone("none"), changes("none", 20)}));
    Fixture it{{list("none", 50), answer, list("none", 20, item("a", 7)),
                changes("none", 21, item("b", 21))}};
    REQUIRE(it.runUntil([&] { return it.targets.size() == 5; }));
    CHECK(it.isWatchAfter(3, 20));
    CHECK(it.sink.lists.back().at(0).position() == SourcePosition{1, 7});
    CHECK(it.sink.changes.at(0).position() == SourcePosition{1, 21});
    CHECK(it.sink.held == SourcePosition{1, 21});
    CHECK(it.sink.eras.empty());
}

TEST_CASE("Store era: an era that is no number counts as none")
{
    const std::string era = GENERATE(as<std::string>{}, "", "+2", "-2", "two", "2x", "2 2", "0x2",
                                     "2.0", "9223372036854775808", "99999999999999999999999999",
                                     "4611686018427387904", "1000000001");
    CAPTURE(era);
    Fixture it{{list(era, 50), changes(era, 51)}};
    REQUIRE(it.runUntil([&] { return it.targets.size() == 3; }));
    CHECK(it.isWatchAfter(2, 51));
    CHECK(it.sink.held == SourcePosition{0, 51});
    CHECK(it.sink.eras.empty());
}
