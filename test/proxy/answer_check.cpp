#include "proxy/answer_check.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;
using http::AnswerMatch;

namespace {

AnswerMetadata signedAnswer(const char *requestId)
{
    AnswerMetadata metadata;
    metadata.requestId = requestId;
    metadata.isSigned = true;
    return metadata;
}

} // namespace

TEST_CASE("Answers are attributed by their request id")
{
    REQUIRE(checkAnswer(200, signedAnswer("r1"), "r1", true) == AnswerMatch::Ours);
    REQUIRE(checkAnswer(200, signedAnswer("r0"), "r1", true) == AnswerMatch::Foreign);
    REQUIRE(checkAnswer(503, signedAnswer("r0"), "r1", false) == AnswerMatch::Foreign);
    REQUIRE(checkAnswer(500, signedAnswer("r1"), "r1", true) == AnswerMatch::Ours);
}

TEST_CASE("An answer without id counts on a new connection only")
{
    AnswerMetadata refusal;
    refusal.isNotRun = true;
    REQUIRE(checkAnswer(503, refusal, "r1", false) == AnswerMatch::Ours);
    REQUIRE(checkAnswer(503, refusal, "r1", true) == AnswerMatch::Invalid);
}

TEST_CASE("Successes must be signed and unencoded")
{
    auto metadata = signedAnswer("r1");
    metadata.isEncoded = true;
    REQUIRE(checkAnswer(200, metadata, "r1", false) == AnswerMatch::Invalid);
    metadata = signedAnswer("r1");
    metadata.isSigned = false;
    REQUIRE(checkAnswer(204, metadata, "r1", false) == AnswerMatch::Invalid);
    REQUIRE(checkAnswer(404, metadata, "r1", false) == AnswerMatch::Ours);
}

TEST_CASE("The promise that a request has not run is believed from the server only")
{
    auto metadata = signedAnswer("r1");
    metadata.isSigned = false;
    for (const int status : {408, 429, 503}) {
        REQUIRE(checkAnswer(status, metadata, "r1", false) == AnswerMatch::Invalid);
        metadata.isNotRun = true;
        REQUIRE(checkAnswer(status, metadata, "r1", false) == AnswerMatch::Ours);
        metadata.isNotRun = false;
        REQUIRE(checkAnswer(status, signedAnswer("r1"), "r1", false) == AnswerMatch::Ours);
    }
}
