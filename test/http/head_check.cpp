#include "http/head_check.h"

#include <catch2/catch.hpp>

using namespace celeryramp::http;

TEST_CASE("Answers of other nodes: statuses that no server can give are rejected")
{
    for (const int status : {-200, 0, 1, 99, 100, 101, 199, 600, 999, 2000}) {
        CAPTURE(status);
        REQUIRE(checkHead(status, Headers{}) == AnswerError::Status);
    }
    for (const int status : {200, 204, 299, 304, 404, 500, 599}) {
        CAPTURE(status);
        REQUIRE(checkHead(status, Headers{{"X", "a\tb \xe9"}, {"Y", ""}}) == AnswerError::None);
    }
}

TEST_CASE("Answers of other nodes: fields that would break the head are rejected")
{
    for (const auto *name : {"", " X", "X Y", "X\t", "X\x01", "X\r\nY", "X:", "X\x7f"}) {
        CAPTURE(name);
        REQUIRE(checkHead(200, Headers{{"A", "1"}, {name, "1"}}) == AnswerError::Field);
    }
    for (const auto *value : {"1\r\nY: 2", "\n", "a\x01", "\x7f"}) {
        CAPTURE(value);
        REQUIRE(checkHead(404, Headers{{"X", value}}) == AnswerError::Field);
    }
    REQUIRE(checkHead(200, Headers{{"content-length", "1"}}) == AnswerError::Framing);
    REQUIRE(checkHead(200, Headers{{"Transfer-Encoding", "chunked"}}) == AnswerError::Framing);
}
