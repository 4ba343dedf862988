#include "http/answer_reader.h"

#include <catch2/catch.hpp>

using namespace celeryramp::http;
using State = AnswerReader::State;

TEST_CASE("A response is complete only when all of its bytes have arrived")
{
    AnswerReader reader{1000};
    reader.expect(false);
    SECTION("framed by Content-Length")
    {
        REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab") == State::Partial);
        SECTION("truncated")
        {
            REQUIRE(reader.finish() == State::Bad);
        }
        SECTION("complete")
        {
            REQUIRE(reader.feed("c") == State::Done);
        }
    }
    SECTION("chunked")
    {
        REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
                == State::Partial);
        SECTION("truncated")
        {
            REQUIRE(reader.finish() == State::Bad);
        }
        SECTION("complete")
        {
            REQUIRE(reader.feed("0\r\n\r\n") == State::Done);
        }
    }
    SECTION("framed by the end of the connection")
    {
        REQUIRE(reader.feed("HTTP/1.1 200 OK\r\n\r\nabc") == State::Partial);
        REQUIRE(reader.finish() == State::Done);
        REQUIRE(reader.take().body == "abc");
    }
    SECTION("truncated in the header")
    {
        reader.feed("HTTP/1.1 200 OK\r\nContent-Le");
        REQUIRE(reader.finish() == State::Bad);
    }
    SECTION("bytes that are not HTTP")
    {
        REQUIRE(reader.feed("\x01\x02garbage\r\n") == State::Bad);
    }
}

TEST_CASE("Bytes after a response are not parsed as part of it")
{
    AnswerReader reader{1000};
    reader.expect(false);
    REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n")
            == State::Done);
    REQUIRE(reader.take().body == "ab");
    REQUIRE(reader.buffered() > 0);
}

TEST_CASE("Interim responses are skipped and responses to HEAD have no body")
{
    AnswerReader reader{1000};
    reader.expect(true);
    REQUIRE(reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
            == State::Done);
    REQUIRE(reader.take().status == 204);
    reader.expect(true);
    REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n") == State::Done);
    REQUIRE(reader.take().body.empty());
}

TEST_CASE("A body that begins with a blank is no part of the head")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 8\r\n\r\n";
    const std::string body = " a\r\n b\r\n";
    const auto bytes = head + body;
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        CAPTURE(cut);
        AnswerReader reader{1000};
        reader.expect(false);
        reader.feed(bytes.substr(0, cut));
        REQUIRE(reader.feed(bytes.substr(cut)) == State::Done);
        REQUIRE(reader.take().body == body);
    }
}

TEST_CASE("Transfer codings do not matter to responses without a body")
{
    AnswerReader reader{1000};
    reader.expect(true);
    REQUIRE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n")
            == State::Done);
    reader.expect(false);
    REQUIRE(reader.feed("HTTP/1.1 304 Same\r\nTransfer-Encoding: gzip\r\n\r\n") == State::Done);
}

namespace {

struct Broken
{
    std::string bytes;
    AnswerError error;
};

/*! @brief Requires that the bytes are no response, in one piece and byte by byte. */
void requireBad(const Broken &broken, bool isHead = false)
{
    CAPTURE(broken.bytes, isHead);
    const std::string_view bytes{broken.bytes};
    AnswerReader whole{1000};
    whole.expect(isHead);
    REQUIRE(whole.feed(bytes) == State::Bad);
    REQUIRE(whole.error() == broken.error);
    REQUIRE(!whole.hasHead());
    REQUIRE(whole.finish() == State::Bad);
    AnswerReader single{1000};
    single.expect(isHead);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        single.feed(bytes.substr(i, 1));
        REQUIRE(single.state() != State::Done);
    }
    REQUIRE(single.state() == State::Bad);
    REQUIRE(single.error() == broken.error);
}

} // namespace

TEST_CASE("Bytes that are no response have a reason")
{
    requireBad(GENERATE(values<Broken>(
            {{"\x01\x02garbage\r\n\r\n", AnswerError::Syntax},
             {"HTTP/2.0 200 OK\r\n\r\n", AnswerError::Syntax},
             {"HTTP/1.1 2x0 OK\r\n\r\n", AnswerError::Status},
             {"HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n", AnswerError::Status},
             {"HTTP/1.1 099 Odd\r\n\r\n", AnswerError::Status},
             {"HTTP/1.1 101 Switching\r\n\r\n", AnswerError::Status},
             {"HTTP/1.1 600 Odd\r\n\r\n", AnswerError::Status},
             {"HTTP/1.0 999 Odd\r\n\r\n", AnswerError::Status},
             {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n", AnswerError::Status},
             {"HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n", AnswerError::Field},
             {"HTTP/1.1 200 OK\r\n X: 1\r\n\r\n", AnswerError::Field},
             {"HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 2\r\n\r\nab", AnswerError::Field},
             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\tX: 1\r\n\r\nab", AnswerError::Field},
             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n \r\n\r\nab", AnswerError::Field},
             {"HTTP/1.1 100 Continue\r\nX: 1\r\n Y: 2\r\n\r\n", AnswerError::Field},
             {"HTTP/1.1 200 OK\r\nX: a\x01\r\n\r\n", AnswerError::Field},
             {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", AnswerError::Framing},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", AnswerError::Framing},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", AnswerError::Framing},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", AnswerError::Framing},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
              AnswerError::Framing}})));
}

// Guards against an answer whose status no server can give, such as 000, and that reaches a caller.
TEST_CASE("A start line without a status that a server can give is no response")
{
    using namespace std::string_literals;
    const auto status
            = GENERATE(as<std::string>{}, "000", "0", "00", "0000", "001", "099", "600", "999",
                       "1000", "20", "2000", "00200", "-01", "+20", "0x1", "2e2", "200.0", "200,",
                       "abc", "OK", "", " 00", " 200", "\t200", "200\t", "2 00", "20 0", "2\0x"s,
                       "200\0"s, "\0OK"s, "200\xa0", "\xef\xbc\x92\xef\xbc\x90\xef\xbc\x90");
    for (const std::string before :
         {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"}) {
        for (const auto *version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
            for (const auto *rest :
                 {" Odd\r\n\r\n", "\r\n\r\n", " \r\nContent-Length: 0\r\n\r\n",
                  "\r\nContent-Length: 2\r\n\r\nab",
                  " Odd\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"}) {
                auto bytes = before;
                bytes.append(version).append(status).append(rest).append(
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                requireBad({bytes, AnswerError::Status}, false);
                requireBad({bytes, AnswerError::Status}, true);
            }
        }
    }
}

TEST_CASE("An interim response is no response without a final one")
{
    const auto *status = GENERATE("100", "102", "103", "199");
    const auto head = std::string{"HTTP/1.1 "} + status + " Odd\r\nContent-Length: 3\r\n\r\n";
    AnswerReader reader{1000};
    reader.expect(false);
    REQUIRE(reader.feed(head) == State::Idle);
    REQUIRE(!reader.hasHead());
    REQUIRE(reader.finish() == State::Idle);
    requireBad({head + "abcHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", AnswerError::Syntax});
}

TEST_CASE("Bytes behind a response without a body are no part of it")
{
    const std::string status = GENERATE("204 None", "304 Same");
    const std::string body = GENERATE("Content-Length: 3\r\n\r\nabc", "\r\nabc",
                                      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    AnswerReader reader{1000};
    reader.expect(false);
    REQUIRE(reader.feed("HTTP/1.1 " + status + "\r\n" + body) == State::Done);
    REQUIRE(reader.buffered() > 0);
    REQUIRE(reader.take().body.empty());
    reader.expect(false);
    REQUIRE(reader.feed({}) != State::Done);
    REQUIRE(reader.finish() == State::Bad);
}
