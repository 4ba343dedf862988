#include "ctl/request_trace.h"

#include <sstream>

#include <catch2/catch.hpp>

using namespace celeryramp;

namespace {

const char *const kNodeA
        = R"(1784.250 info desk request-end request=ab12 status=502 reason=lost server=i-7 account=""
1784.100 info desk request-end request=ab123 status=200 reason=none
lines that are no event
1784.260 info log lines-dropped total=3 event=gate-end
)";
const char *const kNodeB = R"(node-b 1784.200 info gate gate-end request=ab12 server=i-7 reason=lost
node-b 1784.150 info desk request-refused request=ab12.9 status=429 detail="rate=3 level=-1"
)";

} // namespace

TEST_CASE("A line of a node is split into time, duty, event and fields")
{
    const auto line = parseLogLine(
            R"(1784.150 warn desk request-refused request=x status=429 detail="rate=3 level=-1" age_ms=7)");
    REQUIRE(line);
    CHECK(line->time == 1784.150);
    CHECK(line->duty == "desk");
    CHECK(line->event == "request-refused");
    CHECK(line->field("status") == "429");
    CHECK(line->field("detail") == "rate=3 level=-1");
    CHECK(line->field("age_ms") == "7");
    CHECK(line->field("rate").empty());
    CHECK(line->field("none").empty());
}

TEST_CASE("What is no event line is passed over")
{
    CHECK_FALSE(parseLogLine(""));
    CHECK_FALSE(parseLogLine("some words of another program"));
    CHECK_FALSE(parseLogLine("1784.150 info desk"));
}

TEST_CASE("The trace of a request begins with what ended it and goes on in order of time")
{
    RequestTrace trace{"ab12"};
    std::istringstream a{kNodeA};
    std::istringstream b{kNodeB};
    trace.read(a);
    trace.read(b);
    const auto output = trace.output();
    CHECK(output.exit == CtlExit::Good);
    CHECK(output.out
          == R"(ended by 1784.250 desk request-end request=ab12 status=502 reason=lost server=i-7 account=""
in order:
  node-b 1784.150 desk request-refused request=ab12.9 status=429 detail="rate=3 level=-1"
  node-b 1784.200 gate gate-end request=ab12 server=i-7 reason=lost
  1784.250 desk request-end request=ab12 status=502 reason=lost server=i-7 account=""
)");
}

TEST_CASE("A request that no log names is said so")
{
    RequestTrace trace{"ffff"};
    std::istringstream a{kNodeA};
    trace.read(a);
    CHECK(trace.output().exit == CtlExit::Bad);
    CHECK(trace.output().error.find("ffff") != std::string::npos);
}
