#include "http/request_reader.h"

#include <catch2/catch.hpp>

using namespace celeryramp::http;
using State = RequestReader::State;

namespace {

const RequestLimits kLimits{512, 64};

State feed(RequestReader &reader, std::string_view text, std::size_t step = std::string::npos)
{
    auto state = reader.state();
    while (!text.empty()) {
        const auto chunk = text.substr(0, step);
        text.remove_prefix(chunk.size());
        state = reader.feed(chunk, kLimits);
    }
    return state;
}

} // namespace

TEST_CASE("Requests are parsed correctly regardless of how their bytes are split")
{
    const auto step = GENERATE(std::size_t{1}, std::size_t{7}, std::size_t{1000});
    RequestReader reader;
    REQUIRE(feed(reader,
                 "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nTransfer-Encoding: chunked\r\n"
                 "Odd: \tvalue \r\n\r\n3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\n\r\n",
                 step)
            == State::Done);
    const auto request = reader.take();
    REQUIRE(request.method == "POST");
    REQUIRE(request.target == "/a/b?c=d");
    REQUIRE(request.body == "abcde");
    REQUIRE(findHeader(request.headers, "odd") == "value");
    REQUIRE(reader.state() == State::Idle);
}

TEST_CASE("A pipelined request is parsed by the feed after the previous request is taken")
{
    RequestReader reader;
    feed(reader, "GET /1/ HTTP/1.1\r\nHost: x\r\n\r\nGET /2/ HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(reader.state() == State::Done);
    REQUIRE(reader.take().target == "/1/");
    REQUIRE(reader.feed({}, kLimits) == State::Done);
    REQUIRE(reader.take().target == "/2/");
    REQUIRE(reader.buffered() == 0);
}

TEST_CASE("Ambiguous or malformed requests are rejected")
{
    const std::string_view text = GENERATE(
            as<std::string_view>{}, "GET / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: "
            "chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: "
            "3\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3x\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\nabc",
            "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
            "GET / HTTP/1.1\nHost: x\n\n", "GET / HTTP/1.1\r\nHost: x\r\nBad Name: 1\r\n\r\n",
            "GET / HTTP/1.1\r\nHost : x\r\n\r\n", "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n",
            "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n");
    RequestReader reader;
    CAPTURE(text);
    REQUIRE(feed(reader, text) == State::Bad);
    REQUIRE(reader.errorStatus() == 400);
}

TEST_CASE("Headers and bodies that exceed their limits are rejected with status 431 or 413")
{
    RequestReader reader;
    SECTION("header")
    {
        feed(reader, "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(600, 'a') + "\r\n\r\n");
        REQUIRE(reader.errorStatus() == 431);
    }
    SECTION("unterminated header")
    {
        feed(reader, "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(600, 'a'), 50);
        REQUIRE(reader.errorStatus() == 431);
    }
    SECTION("body with Content-Length")
    {
        feed(reader, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n");
        REQUIRE(reader.errorStatus() == 413);
    }
    SECTION("chunked body")
    {
        feed(reader,
             "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n"
                     + std::string(64, 'a') + "\r\n1\r\nb\r\n0\r\n\r\n");
        REQUIRE(reader.errorStatus() == 413);
    }
    REQUIRE(reader.state() == State::Bad);
}

TEST_CASE("Only hop-by-hop headers and body framing are removed")
{
    Headers headers{{"Connection", "close, X-Hop"},
                    {"X-Hop", "1"},
                    {"Keep-Alive", "timeout=5"},
                    {"TE", "trailers"},
                    {"X-Kept", "2"},
                    {"Transfer-Encoding", "chunked"},
                    {"Content-Length", "5"},
                    {"Upgrade", "h2c"}};
    eraseHopByHop(headers);
    REQUIRE(headers.size() == 1);
    REQUIRE(headers.front().name == "X-Kept");
}
