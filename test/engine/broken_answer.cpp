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

/*!
 * @brief Calls `visit` with scripts of an answer to each of the next requests of a new mesh: framed
 * in all ways, in one piece and byte by byte.
 */
template <typename Visit>
void forEachForm(const std::string &startLine, const std::string &fields, Visit visit)
{
    int id = 1;
    for (const auto &framing : kFramings) {
        for (const bool isByteByByte : {false, true}) {
            CAPTURE(startLine, fields, framing.text, isByteByByte);
            http::Request request;
            request.headers = {{"T-Request", "r" + std::to_string(id++)}};
            const auto bytes = answerWith(request, startLine, fields, framing.text);
            auto script = isByteByByte ? ScriptedServer::byteByByte(bytes) : Script{bytes};
            script.closes = framing.closes;
            visit(script);
        }
    }
}

/*! @brief Requires that a start line or further fields make an answer that is not passed on,
 * however its body is framed and in which pieces it arrives. */
void requireBroken(const std::string &reason, const std::string &startLine,
                   const std::string &fields)
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    forEachForm(startLine, fields, [&](const Script &script) {
        CAPTURE(index);
        requireRejected(mesh, index, reason, script);
    });
}

/*! @brief Requires that an unusual answer is passed on. */
void requirePassed(const std::string &startLine, const std::string &fields, int status)
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    forEachForm(startLine, fields, [&](const Script &script) {
        CAPTURE(index);
        mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
                [&script](const http::Request &) { return script; });
        const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
        REQUIRE(outcome.end == http::ExchangeEnd::Answered);
        REQUIRE(outcome.answer.status == status);
        REQUIRE(outcome.answer.body == "abc");
    });
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

// Guards against an answer whose status no server can give, such as 000, and that reaches a caller.
TEST_CASE("Broken answer: a start line without a status is not passed on")
{
    using namespace std::string_literals;
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    int id = 1;
    for (const auto &status : {"000"s, "0"s, "00"s, "0000"s, "1000"s, "20"s, "2000"s, "-01"s,
                               "+20"s, "0x1"s, " 00"s, " 200"s, "\t200"s, "200\t"s, "200\0"s,
                               "2\0x"s, "abc"s, ""s, "\xef\xbc\x92\xef\xbc\x90\xef\xbc\x90"s}) {
        for (const auto *rest : {" Odd", " ", "", " Odd\r\n\r\nHTTP/1.1 200 OK"}) {
            CAPTURE(index, status, rest);
            http::Request request;
            request.headers = {{"T-Request", "r" + std::to_string(id++)}};
            const auto bytes
                    = answerWith(request, "HTTP/1.1 " + status + rest, {}, kFramings.front().text);
            requireRejected(mesh, index, "status", Script{bytes});
        }
    }
}

TEST_CASE("Broken answer: a status that no server can give is not passed on to HEAD")
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    const auto *status = GENERATE("000 Odd", "000", "600 Odd", "20 Odd");
    auto &server = *mesh.nodes[static_cast<std::size_t>(index)]->server;
    server.setRespond([status](const http::Request &request) {
        return Script{answerWith(request, "HTTP/1.1 " + std::string{status}, {},
                                 "Content-Length: 3\r\n\r\n")};
    });
    REQUIRE(mesh.callAndWait(0, "HEAD", "/once/").answer.status == 502);
    REQUIRE(mesh.runUntil([&] { return server.openConnections == 0; }, Millis{500}));
}

TEST_CASE("Broken answer: an interim response without a final one is not passed on")
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    const auto *status = GENERATE("100 Continue", "103 Hints", "199 Odd");
    for (const auto &framing : kFramings) {
        CAPTURE(status, framing.text);
        mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
                [&](const http::Request &request) {
                    return Script{answerWith(request, "HTTP/1.1 " + std::string{status}, {},
                                             framing.text),
                                  true};
                });
        const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
        REQUIRE(outcome.answer.status == 502);
        REQUIRE(outcome.answer.body.empty());
        REQUIRE(http::findHeader(outcome.answer.headers, "T-Signed").empty());
    }
}

TEST_CASE("Broken answer: bytes behind a complete answer do not hurt other requests")
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    const std::string start = GENERATE("200 OK", "204 None", "304 Same");
    const bool hasBody = start == "200 OK";
    auto &server = *mesh.nodes[static_cast<std::size_t>(index)]->server;
    for (const auto *extra :
         {"HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 000\r\n\r\n", "000", "abc",
          "\r\n", "3\r\nabc\r\n0\r\n\r\n"}) {
        for (const auto *method : {"POST", "GET"}) {
            CAPTURE(index, start, extra, method);
            const auto seen = server.seen.size();
            server.setRespond([&](const http::Request &request) {
                return Script{answerWith(request, "HTTP/1.1 " + start, {}, kFramings.front().text)
                              + extra};
            });
            const auto outcome = mesh.callAndWait(0, method, "/once/");
            REQUIRE(outcome.answer.status == std::stoi(start));
            REQUIRE(outcome.answer.body == (hasBody ? "abc" : ""));
            REQUIRE(server.seen.size() == seen + 1);
            REQUIRE(mesh.runUntil([&] { return server.openConnections == 0; }, Millis{500}));
        }
    }
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

TEST_CASE("Broken answer: a head with a blank or control byte in the name of a field")
{
    const std::string line
            = GENERATE(as<std::string>{}, "X Y: 1", "X Y:", "X : 1", "X\t: 1", "Content-Length : 2",
                       " Content-Length: 2", " X: 1", "\tX: 1", "\tX:", "X\tY: 1", "X\x01Y: 1",
                       "\x01X: 1", "X\x1f: 1", "X\x7f: 1", "X\x0bY: 1", "X\rY: 1", "X\nY: 1",
                       std::string{"X\0: 1", 5}, "\xc2\xa0X: 1", "X", ": 1", " : 1", " ");
    requireBroken("field", kOk, line + "\r\n");
}

TEST_CASE("Broken answer: a line that begins with a blank is no part of the line before")
{
    const auto *before = GENERATE("X: 1", "X:", "Content-Type: text/plain", "Retry-After: 1");
    const auto *line = GENERATE(" Y: 2", "\tContent-Length: 2", "  folded", " ", "\t\t");
    requireBroken("field", kOk, before + std::string{"\r\n"} + line + "\r\nZ: 1\r\n");
}

TEST_CASE("Broken answer: a body in a transfer coding that is not undone")
{
    const auto *codings = GENERATE("gzip, chunked", "chunked, gzip", "gzip", "xchunked",
                                   "chunked x", "chunked;q=1", "chunked, chunked",
                                   "identity, chunked", "gzip\r\nTransfer-Encoding: chunked");
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    int id = 1;
    for (const auto *body : {"3\r\nabc\r\n0\r\n\r\n", "abc"}) {
        for (const bool isByteByByte : {false, true}) {
            CAPTURE(codings, body, isByteByByte);
            http::Request request;
            request.headers = {{"T-Request", "r" + std::to_string(id++)}};
            const auto bytes
                    = answerWith(request, kOk, "Transfer-Encoding: " + std::string{codings},
                                 "\r\n\r\n" + std::string{body});
            auto script = isByteByByte ? ScriptedServer::byteByByte(bytes) : Script{bytes};
            script.closes = true;
            requireRejected(mesh, index, "framing", script);
        }
    }
}

TEST_CASE("Broken answer: chunked bodies may be announced in unusual ways")
{
    const auto *codings = GENERATE("chunked", "CHUNKED", ", chunked", "chunked ,", " \tchunked\t ");
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    for (const bool isByteByByte : {false, true}) {
        CAPTURE(codings, isByteByByte);
        mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
                [&](const http::Request &request) {
                    const auto bytes
                            = answerWith(request, kOk, "Transfer-Encoding: " + std::string{codings},
                                         "\r\n\r\n0003;a=b;c=\"d\"\r\nabc\r\n000;z\r\n\r\n");
                    return isByteByByte ? ScriptedServer::byteByByte(bytes) : Script{bytes};
                });
        const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
        REQUIRE(outcome.answer.status == 200);
        REQUIRE(outcome.answer.body == "abc");
    }
}

TEST_CASE("Broken answer: a body without coding may say so")
{
    const auto *codings = GENERATE("identity", "Identity", "", ",");
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
            [&](const http::Request &request) {
                return Script{answerWith(request, kOk, "Transfer-Encoding: " + std::string{codings},
                                         "\r\n\r\nabc"),
                              true};
            });
    const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
    REQUIRE(outcome.answer.status == 200);
    REQUIRE(outcome.answer.body == "abc");
}

TEST_CASE("Broken answer: fields of a trailer do not change the head")
{
    const auto *trailer = GENERATE("T-Not-Run: 1", "T-Request: other", "Content-Type: text/plain",
                                   "Connection: close", "X: 1");
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    for (const bool isByteByByte : {false, true}) {
        CAPTURE(trailer, isByteByByte);
        mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
                [&](const http::Request &request) {
                    const auto bytes = answerWith(request, kOk, "Transfer-Encoding: chunked",
                                                  "\r\n\r\n3\r\nabc\r\n0\r\n")
                            + trailer + "\r\n\r\n";
                    return isByteByByte ? ScriptedServer::byteByByte(bytes) : Script{bytes};
                });
        const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
        REQUIRE(outcome.answer.status == 200);
        REQUIRE(outcome.answer.body == "abc");
        REQUIRE(http::findHeader(outcome.answer.headers, "Content-Type").empty());
        REQUIRE(http::findHeader(outcome.answer.headers, "X").empty());
    }
}

TEST_CASE("Broken answer: a broken head is not passed on whatever its status")
{
    const auto *status = GENERATE("201 Created", "302 Found", "404 Not Found", "500 Error",
                                  "503 Unavailable", "599 Odd");
    const auto *line = GENERATE("Y: 1\r\n X: 1", "X\x01: 1");
    requireBroken("field", "HTTP/1.1 " + std::string{status}, line + std::string{"\r\n"});
}

TEST_CASE("Broken answer: a broken head is no refusal")
{
    requireBroken("field", "HTTP/1.1 503 Busy", "T-Not-Run: 1\r\nY: 1\r\n\tX: 1\r\n");
}

TEST_CASE("Broken answer: a broken head of an interim response breaks the answer behind it")
{
    requireBroken("field", "HTTP/1.1 103 Hints\r\nLink: </a>\r\n X: 1\r\n\r\n" + kOk, {});
}

TEST_CASE("Broken answer: a request that may be repeated is repeated after a broken head")
{
    const auto *line
            = GENERATE("Y: 1\r\n Content-Length: 2", "Y: 1\r\n\tX: 1", "X Y: 1", "X\x01: 1");
    requireRepeated(kOk, line + std::string{"\r\n"});
}

TEST_CASE("Broken answer: unusual fields are passed on")
{
    const std::string line = GENERATE(as<std::string>{}, "X:", "X:1", "X: \t 1 \t", "X: a\tb",
                                      "x!#$%&'*+-.^_`|~9: 1", "X: \xe9", "X: : :", "X: \"a b\"");
    requirePassed(kOk, line + "\r\n", 200);
    requirePassed("HTTP/1.1 404 ", line + "\r\n", 404);
}

TEST_CASE("Broken answer: bodies may look like broken heads")
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    const std::string body = "\r\n X: 1\r\n\tY: 2\r\n\r\n Z\x01: 3\r\n\r\n";
    for (const bool isByteByByte : {false, true}) {
        mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
                [&](const http::Request &request) {
                    const auto bytes = ScriptedServer::good(request, body);
                    return isByteByByte ? ScriptedServer::byteByByte(bytes) : Script{bytes};
                });
        REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.body == body);
    }
}

TEST_CASE("Broken answer: a long body with a broken head is not begun")
{
    Mesh mesh{2};
    const int index = useOneServer(mesh);
    const auto *line = GENERATE("", "Y: 1\r\n X: 1\r\n");
    const auto *status = GENERATE("200 OK", "000 Odd");
    const bool isBroken = *line != '\0' || *status == '0';
    mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
            [&](const http::Request &request) {
                return Script{answerWith(request, "HTTP/1.1 " + std::string{status}, line,
                                         "Content-Length: 400000\r\n\r\n")
                              + std::string(400'000, 'b')};
            });
    const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
    REQUIRE(outcome.answer.status == (isBroken ? 502 : 200));
    REQUIRE(outcome.answer.body.size() == (isBroken ? 0U : 400'000U));
}

TEST_CASE("Broken answer: a health answer that is broken does not count as good")
{
    Mesh mesh{1};
    const auto *start = GENERATE(
            "HTTP/1.1 000 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1\r\n",
            "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\nX\x01: 1\r\n");
    mesh.nodes[0]->server->setRespondHealth([start](const http::Request &) {
        return Script{std::string{start} + "T-Server: s9\r\nContent-Length: 0\r\n\r\n"};
    });
    mesh.restartServer(0, "s9");
    const auto healthy = mesh.metric(0, "health_probes_total{outcome=\"healthy\"}");
    mesh.run(Millis{400}); // between two probes
    mesh.publish();
    REQUIRE(mesh.runUntil(
            [&] { return mesh.metric(0, "answers_rejected_total{from=\"health\"") > 0; },
            Millis{1500}));
    REQUIRE(mesh.metric(0, "health_probes_total{outcome=\"healthy\"}") == healthy);
    REQUIRE(mesh.metric(0, "health_probes_total{outcome=\"malformed\"}") > 0);
}
