#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! @return A signed answer to the request whose start line and further fields are given. */
std::string answerWith(const http::Request &request, const std::string &startLine,
                       const std::string &fields, const std::string &framing)
{
    return startLine + "\r\nT-Signed: 1\r\nT-Request: "
            + std::string{http::findHeader(request.headers, "T-Request")} + "\r\n" + fields
            + framing;
}

/*! Ways in which an answer says where it ends; all have a body of 3 bytes. */
struct Framing
{
    std::string text;
    bool closes;
};
const std::vector<Framing> kFramings{
        {"Content-Length: 3\r\n\r\nabc", false},
        {"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false},
        {"\r\nabc", true}};

/*! @return Index of the only server that is listed, beside the node of the caller or another. */
int useOneServer(Mesh &mesh)
{
    const int index = GENERATE(0, 1);
    mesh.publish({}, {1 - index});
    return index;
}

/*! @brief Calls once and requires that the answer of the server is not passed on, the caller is
 * not told that the request has not run, and the connection is closed. */
void requireRejected(Mesh &mesh, int index, const std::string &reason, const Script &script)
{
    auto &server = *mesh.nodes[static_cast<std::size_t>(index)]->server;
    const auto counter = "answers_rejected_total{from=\"server\",reason=\"" + reason + "\"}";
    const auto rejected = mesh.metric(index, counter);
    const auto seen = server.seen.size();
    server.setRespond([&script](const http::Request &) { return script; });
    const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
    REQUIRE(outcome.end == http::ExchangeEnd::Answered);
    REQUIRE(outcome.answer.status == 502);
    REQUIRE(outcome.answer.body.empty());
    REQUIRE(server.seen.size() == seen + 1);
    REQUIRE(mesh.runUntil([&] { return server.openConnections == 0; }, Millis{500}));
    REQUIRE(mesh.metric(index, counter) == rejected + 1);
}

/*! @return Scripts of the bytes in one piece and byte by byte. The id of the next request of the
 * mesh is `id`. */
std::vector<Script> inPieces(const std::string &bytes, bool closes)
{
    std::vector<Script> scripts{Script{bytes}, ScriptedServer::byteByByte(bytes)};
    for (auto &script : scripts) {
        script.closes = closes;
    }
    return scripts;
}

/*! @brief Requires that a start line or further fields make an answer that is not passed on,
 * however its body is framed and in which pieces it arrives. */
void requireBroken(const std::string &reason, const std::string &startLine,
                   const std::string &fields)
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    int id = 1;
    for (const auto &framing : kFramings) {
        for (const bool isByteByByte : {false, true}) {
            CAPTURE(index, startLine, fields, framing.text, isByteByByte);
            http::Request request;
            request.headers = {{"T-Request", "r" + std::to_string(id++)}};
            const auto bytes = answerWith(request, startLine, fields, framing.text);
            requireRejected(mesh, index, reason,
                            inPieces(bytes, framing.closes)[isByteByByte ? 1 : 0]);
        }
    }
}

/*! @brief Requires that an unusual answer is passed on. */
void requirePassed(const std::string &startLine, const std::string &fields, int status)
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    int id = 1;
    for (const auto &framing : kFramings) {
        for (const bool isByteByByte : {false, true}) {
            CAPTURE(index, startLine, fields, framing.text, isByteByByte);
            http::Request request;
            request.headers = {{"T-Request", "r" + std::to_string(id++)}};
            const auto bytes = answerWith(request, startLine, fields, framing.text);
            const auto script = inPieces(bytes, framing.closes)[isByteByByte ? 1 : 0];
            mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
                    [&script](const http::Request &) { return script; });
            const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
            REQUIRE(outcome.end == http::ExchangeEnd::Answered);
            REQUIRE(outcome.answer.status == status);
            REQUIRE(outcome.answer.body == "abc");
        }
    }
}

/*! @brief Requires that a request that may be repeated gets the answer of another server. */
void requireRepeated(const std::string &startLine, const std::string &fields)
{
    Mesh mesh{2};
    std::size_t requests = 0;
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([&](const http::Request &request) {
            return Script{++requests == 1
                                  ? answerWith(request, startLine, fields, kFramings.front().text)
                                  : ScriptedServer::good(request, "whole")};
        });
    }
    const auto outcome = mesh.callAndWait(0, "GET", "/safe/");
    REQUIRE(outcome.answer.status == 200);
    REQUIRE(outcome.answer.body == "whole");
    REQUIRE(requests == 2);
}

const std::string kOk = "HTTP/1.1 200 OK";

} // namespace

TEST_CASE("Broken answer: a status that no server can give is not passed on")
{
    const auto *status = GENERATE("000", "001", "099", "101", "600", "601", "999");
    requireBroken("status", "HTTP/1.1 " + std::string{status} + " Odd", {});
}

TEST_CASE("Broken answer: a status that no server can give is no refusal")
{
    const auto *status = GENERATE("000", "600");
    requireBroken("status", "HTTP/1.1 " + std::string{status} + " Odd", "T-Not-Run: 1\r\n");
}

TEST_CASE("Broken answer: a request that may be repeated is repeated after an invalid status")
{
    const auto *status = GENERATE("000", "099", "600", "999");
    requireRepeated("HTTP/1.1 " + std::string{status} + " Odd", {});
}

TEST_CASE("Broken answer: unusual statuses are passed on")
{
    const int status = GENERATE(299, 300, 399, 418, 499, 500, 599);
    requirePassed("HTTP/1.1 " + std::to_string(status) + " Odd", {}, status);
}

TEST_CASE("Broken answer: interim responses before an answer are skipped")
{
    const auto *interim
            = GENERATE("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Busy\r\n\r\n",
                       "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n");
    requirePassed(interim + kOk, {}, 200);
}
