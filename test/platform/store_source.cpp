#include "store_source.h"

#include <fstream>

#include <catch2/catch.hpp>

#include "soak/link_proxy.h"
#include "soak/store.h"
#include "support/event_loop.h"
#include "support/scripted_server.h"

using namespace celeryramp;
using platform::StoreSource;
using standin::soak::LinkProxy;
using standin::soak::LinkState;
using standin::soak::Store;

namespace {

const Address kStore{"127.0.0.61", 17805};
const Address kLink{"127.0.0.62", 17805};
/*! A link of 10 Mbit/s that carries 500 KB/s of answers as well. */
constexpr std::size_t kBytesPerSecond = 750'000;
/*! Configuration of 2,400 routes. */
constexpr std::size_t kLargeValue = 430'000;

/*! @brief Sink that reads on at once, as the reader of a zone does. */
class RecordingSink final : public directory::ItemSink
{
public:
    [[nodiscard]] bool onList(const std::vector<directory::ItemChange> &items,
                              const directory::SourcePosition &position,
                              TimePoint /*requestedAt*/) override
    {
        ++lists;
        held = position.revision;
        era = position.era;
        itemCount = items.size();
        return true;
    }
    [[nodiscard]] bool onChanges(const std::vector<directory::ItemChange> & /*changes*/,
                                 const directory::SourcePosition &position,
                                 TimePoint /*requestedAt*/) override
    {
        held = position.revision;
        return true;
    }
    void onSourceFailed(const std::string & /*reason*/, TimePoint /*requestedAt*/) override
    {
        ++failures;
    }
    void onSourceEra(std::int64_t era) override { eras.push_back(era); }
    void onResponseRejected(std::string_view reason) override { rejected.emplace_back(reason); }
    [[nodiscard]] directory::SourcePosition heldPosition() const override { return {era, held}; }
    [[nodiscard]] std::optional<Millis> readPause() const override { return Millis{0}; }
    [[nodiscard]] std::size_t failingPeers() const override { return 0; }

    std::int64_t held = 0;
    std::int64_t era = 0;
    std::size_t itemCount = 0;
    int lists = 0;
    int failures = 0;
    std::vector<std::string> rejected;
    std::vector<std::int64_t> eras;
};

struct Fixture
{
    Fixture()
    {
        store.put("servers/a", "{}");
        source.start(sink);
        REQUIRE(runUntil([this] { return sink.held > 0; }, Millis{2000}));
    }
    ~Fixture() { source.stop(); }

    bool runUntil(const std::function<bool()> &condition, Millis most)
    {
        return test::runUntil(context, condition, most);
    }

    boost::asio::io_context context;
    Store store{context, kStore};
    LinkProxy link{context, kLink, kStore};
    RecordingSink sink;
    StoreSource source{context, kLink, 7};
};

} // namespace

// Guards against a reader that gives up large responses on a slow link and asks for more each time.
TEST_CASE("Store source: a series of large configurations is read over a slow link")
{
    Fixture fixture;
    LinkState slow;
    slow.bytesPerSecond = kBytesPerSecond;
    fixture.link.setState(slow);
    const auto before = fixture.sink.held;
    constexpr int kVersions = 4;
    for (int i = 0; i < kVersions; ++i) {
        fixture.store.put("op/config", std::string(kLargeValue, static_cast<char>('a' + i)));
    }
    // One value takes 0.8 s on the link, and the newest one is all that is needed.
    REQUIRE(fixture.runUntil([&] { return fixture.sink.held >= before + kVersions; },
                             Millis{5000}));
}

// Guards against a node that never catches up, since the changes it has missed exceed a response.
TEST_CASE("Store source: changes that are longer than a response are replaced by a list")
{
    Fixture fixture;
    const auto before = fixture.sink.held;
    constexpr int kVersions = 24;
    for (int i = 0; i < kVersions; ++i) {
        fixture.store.put("op/config", std::string(kLargeValue, static_cast<char>('a' + i)));
    }
    REQUIRE(fixture.runUntil([&] { return fixture.sink.held >= before + kVersions; },
                             Millis{4000}));
}

TEST_CASE("Store source: a read that gets no bytes is given up and sent again")
{
    Fixture fixture;
    fixture.store.setState({Millis{4}, true, false, false});
    REQUIRE(fixture.runUntil([&] { return fixture.sink.failures > 0; }, Millis{1800}));
    fixture.store.setState({});
    const auto before = fixture.sink.held;
    fixture.store.put("servers/b", "{}");
    REQUIRE(fixture.runUntil([&] { return fixture.sink.held > before; }, Millis{3500}));
}

namespace {

/*! Half of the memory limit of the smallest machines. */
constexpr std::size_t kMaxGrowth = 55U << 20U;

/*! @return Peak of the resident memory of this process, in bytes. */
std::size_t peakMemory()
{
    std::ifstream status{"/proc/self/status"};
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

test::ScriptedServer::Script response(const std::string &body)
{
    return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body};
}

/*! @return A response of 7 MB that is valid until its last byte. */
std::string repeated(const std::string &start, const std::string &unit)
{
    std::string body = start;
    while (body.size() < 7U << 20U) {
        body += unit;
    }
    return body;
}

} // namespace

// Guards against a node that a response of the store takes over its memory limit when it is parsed.
TEST_CASE("Store source: a response with very many values is not parsed")
{
    const auto [start, unit] = GENERATE(table<std::string, std::string>(
            {{R"({"items":[{})", ",{}"}, {R"({"items":[0)", ",[]"}, {"", "["}, {"", R"({"a":)"}}));
    CAPTURE(start, unit);
    const auto body = repeated(start, unit);
    boost::asio::io_context context;
    test::ScriptedServer server{context, kStore, "store"};
    server.setRespond([&body](const http::Request &) { return response(body); });
    RecordingSink sink;
    StoreSource source{context, kStore, 7};
    const auto before = peakMemory();
    source.start(sink);
    REQUIRE(test::runUntil(
            context, [&] { return sink.failures > 0; }, Millis{4000}));
    source.stop();
    REQUIRE(peakMemory() < before + kMaxGrowth);
}

// Guards against a node that keeps the pages of a list without end.
TEST_CASE("Store source: a list without end is given up")
{
    boost::asio::io_context context;
    test::ScriptedServer server{context, kStore, "store"};
    int pages = 0;
    server.setRespond([&pages](const http::Request &) {
        return response(R"({"items":[{"Key":"k)" + std::to_string(++pages)
                        + R"(","Revision":1,"Value":")" + std::string(1U << 20U, 'A')
                        + R"("}],"Truncated":true,"CurrentRev":1})");
    });
    RecordingSink sink;
    StoreSource source{context, kStore, 7};
    const auto before = peakMemory();
    source.start(sink);
    REQUIRE(test::runUntil(
            context, [&] { return sink.failures > 0; }, Millis{4000}));
    source.stop();
    REQUIRE(pages < 200);
    REQUIRE(peakMemory() < before + kMaxGrowth);
}

namespace {

/*! @brief Reads a list from a store whose first response is given and whose later ones are good. */
struct BrokenStore
{
    BrokenStore(const std::string &bytes, bool isByteByByte, bool resets)
    {
        server.setRespond([=, n = 0](const http::Request &request) mutable {
            if (n++ > 0) {
                return test::ScriptedServer::Script{test::ScriptedServer::good(request, kList)};
            }
            auto script = isByteByByte ? test::ScriptedServer::byteByByte(bytes)
                                       : test::ScriptedServer::Script{bytes};
            script.closes = resets;
            script.resets = resets;
            return script;
        });
        source.start(sink);
    }
    ~BrokenStore() { source.stop(); }

    static constexpr const char *kList = "{\"items\":[],\"CurrentRev\":5,\"Truncated\":false}";

    boost::asio::io_context context;
    test::ScriptedServer server{context, kStore, "store"};
    RecordingSink sink;
    StoreSource source{context, kStore, 7};
};

} // namespace

TEST_CASE("Store source: a broken response is not read whatever its body says")
{
    const std::string head
            = GENERATE(as<std::string>{}, "HTTP/1.1 000 Odd\r\n", "HTTP/1.1 600 Odd\r\n",
                       "HTTP/1.1 101 Odd\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n",
                       "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1\r\n", "HTTP/1.1 200 OK\r\nX\x01: 1\r\n",
                       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n", "HTTP/1.0 200 OK\r\n\tX: 1\r\n");
    const bool isByteByByte = GENERATE(false, true);
    CAPTURE(head, isByteByByte);
    const std::string list = "{\"items\":[],\"CurrentRev\":9,\"Truncated\":false}";
    BrokenStore store{head + "Content-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list,
                      isByteByByte, false};
    REQUIRE(test::runUntil(
            store.context, [&] { return store.sink.held > 0; }, Millis{3000}));
    REQUIRE(store.sink.held == 5);
    REQUIRE(store.sink.failures == 1);
    REQUIRE(store.sink.rejected.size() == 1);
}

TEST_CASE("Store source: a response without length that is reset is not read")
{
    const bool isByteByByte = GENERATE(false, true);
    BrokenStore store{"HTTP/1.1 200 OK\r\n\r\n{\"items\":[],\"CurrentRev\":9}", isByteByByte, true};
    REQUIRE(test::runUntil(
            store.context, [&] { return store.sink.held > 0; }, Millis{3000}));
    REQUIRE(store.sink.held == 5);
    REQUIRE(store.sink.failures == 1);
}
