#include <string>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using EarlyAnswer = test::ScriptedServer::EarlyAnswer;
using Script = test::ScriptedServer::Script;

namespace {

/*! More than the operating system takes of a request whose server does not read. */
constexpr std::size_t kUpload = 6'000'000;
/*! Longer than what a gate sends whole. */
constexpr std::size_t kLongPart = 200'000;
constexpr Millis kMostTime{7000};

/*! Places in an upload at which a server answers. */
constexpr std::size_t kAtOnce = 0;
constexpr std::size_t kEarly = 50'000;
constexpr std::size_t kLate = kUpload - 2'000'000;

const std::string kUploadBody(kUpload, 'u');

/*! @brief Mesh that takes long request bodies. */
struct UploadMesh : Mesh
{
    explicit UploadMesh(int count) : Mesh{count} { limitBodies(2 * kUpload); }
};

Script resetAfter(std::string bytes, Millis pause)
{
    Script script{std::move(bytes), true, true};
    script.pause = pause;
    return script;
}

/*! @brief Calls at node 0 with a long upload. @return What its caller gets. */
Outcome upload(Mesh &mesh, const std::string &target)
{
    const auto outcome = std::make_shared<Outcome>();
    const auto caller
            = mesh.call(0, "POST", target, outcome, {{"T-Deadline", "5500"}}, kUploadBody);
    static_cast<void>(mesh.runUntil([&] { return outcome->isDone; }, kMostTime));
    return *outcome;
}

int earlyAnswers(const Mesh &mesh)
{
    int n = 0;
    for (const auto &node : mesh.nodes) {
        n += node->server->earlyAnswers;
    }
    return n;
}

} // namespace

TEST_CASE("Early answer: without length and reset during the upload it is not complete")
{
    const int node = GENERATE(0, 1);
    const auto bodyBytes = GENERATE(kAtOnce, kEarly, kLate);
    const Millis pause = GENERATE(Millis{0}, Millis{30});
    const bool isByteByByte = GENERATE(false, true);
    CAPTURE(node, bodyBytes, pause.count(), isByteByByte);
    UploadMesh mesh{2};
    mesh.publish({}, {1 - node});
    auto &server = *mesh.nodes[static_cast<std::size_t>(node)]->server;
    server.setRespondEarly({bodyBytes, false, [=](const http::Request &head) {
                                const auto bytes = ScriptedServer::head(head) + "\r\npart";
                                auto script = isByteByByte ? ScriptedServer::byteByByte(bytes)
                                                           : Script{bytes};
                                script.closes = true;
                                script.resets = true;
                                script.pause = pause;
                                return script;
                            }});
    const auto outcome = upload(mesh, "/slow/");
    REQUIRE(outcome.end == http::ExchangeEnd::Answered);
    REQUIRE(outcome.answer.status == 502);
    REQUIRE(outcome.answer.body.empty());
    REQUIRE(server.earlyAnswers == 1);
}

TEST_CASE("Early answer: one that is closed with a part of the upload unread is not complete")
{
    // The operating system resets a connection that is closed with unread bytes.
    const int node = GENERATE(0, 1);
    UploadMesh mesh{2};
    mesh.publish({}, {1 - node});
    auto &server = *mesh.nodes[static_cast<std::size_t>(node)]->server;
    server.setRespondEarly({kEarly, false, [](const http::Request &head) {
                                Script script{ScriptedServer::head(head) + "\r\npart", true};
                                script.pause = Millis{30};
                                return script;
                            }});
    const auto outcome = upload(mesh, "/slow/");
    REQUIRE(outcome.answer.status == 502);
    REQUIRE(outcome.answer.body.empty());
}

TEST_CASE("Early answer: a long part that is reset during the upload ends as broken")
{
    const int node = GENERATE(0, 1);
    const Millis pause = GENERATE(Millis{0}, Millis{30});
    CAPTURE(node, pause.count());
    UploadMesh mesh{2};
    mesh.publish({}, {1 - node});
    auto &server = *mesh.nodes[static_cast<std::size_t>(node)]->server;
    server.setRespondEarly({kAtOnce, false, [pause](const http::Request &head) {
                                return resetAfter(ScriptedServer::head(head) + "\r\n"
                                                          + std::string(kLongPart, 'p'),
                                                  pause);
                            }});
    const auto outcome = upload(mesh, "/slow/");
    REQUIRE(server.earlyAnswers == 1);
    REQUIRE(outcome.isDone);
    if (outcome.end == http::ExchangeEnd::Answered) {
        REQUIRE(outcome.answer.status == 502);
    } else {
        REQUIRE(outcome.end == http::ExchangeEnd::Lost);
    }
}

TEST_CASE("Early answer: an upload that may be repeated is answered by another server")
{
    UploadMesh mesh{2};
    for (const auto &node : mesh.nodes) {
        node->server->setRespondEarly(
                {kEarly, false, [&mesh](const http::Request &head) {
                     if (earlyAnswers(mesh) > 1) {
                         return Script{ScriptedServer::good(head, "whole")};
                     }
                     return resetAfter(ScriptedServer::head(head) + "\r\npart", Millis{30});
                 }});
    }
    const auto outcome = upload(mesh, "/safe/");
    REQUIRE(outcome.answer.status == 200);
    REQUIRE(outcome.answer.body == "whole");
    REQUIRE(earlyAnswers(mesh) == 2);
}

TEST_CASE("Early answer: a part with length that is reset during the upload is not complete")
{
    const auto *framing = GENERATE("Content-Length: 5\r\n\r\npart",
                                   "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    const int node = GENERATE(0, 1);
    CAPTURE(framing, node);
    UploadMesh mesh{2};
    mesh.publish({}, {1 - node});
    mesh.nodes[static_cast<std::size_t>(node)]->server->setRespondEarly(
            {kEarly, false, [framing](const http::Request &head) {
                 return resetAfter(ScriptedServer::head(head) + framing, Millis{30});
             }});
    REQUIRE(upload(mesh, "/slow/").answer.status == 502);
}

TEST_CASE("Early answer: a whole one is passed on even if the connection is reset after it")
{
    const int node = GENERATE(0, 1);
    const bool resets = GENERATE(false, true);
    const auto bodyBytes = GENERATE(kAtOnce, kLate);
    CAPTURE(node, resets, bodyBytes);
    UploadMesh mesh{2};
    mesh.publish({}, {1 - node});
    auto &server = *mesh.nodes[static_cast<std::size_t>(node)]->server;
    server.setRespondEarly({bodyBytes, false, [resets](const http::Request &head) {
                                Script script{ScriptedServer::good(head, "whole"), resets, resets};
                                script.pause = Millis{30};
                                return script;
                            }});
    const auto outcome = upload(mesh, "/slow/");
    REQUIRE(outcome.answer.status == 200);
    REQUIRE(outcome.answer.body == "whole");
}

TEST_CASE("Early answer: one that ends with the orderly end of the stream is complete")
{
    const int node = GENERATE(0, 1);
    const auto bodyBytes = GENERATE(kAtOnce, kEarly, kLate);
    const bool resetsAfterEnd = GENERATE(false, true);
    CAPTURE(node, bodyBytes, resetsAfterEnd);
    UploadMesh mesh{2};
    mesh.publish({}, {1 - node});
    mesh.nodes[static_cast<std::size_t>(node)]->server->setRespondEarly(
            {bodyBytes, !resetsAfterEnd, [resetsAfterEnd](const http::Request &head) {
                 Script script{ScriptedServer::head(head) + "\r\nwhole", resetsAfterEnd,
                               resetsAfterEnd};
                 script.shutsDown = true;
                 return script;
             }});
    const auto outcome = upload(mesh, "/slow/");
    REQUIRE(outcome.answer.status == 200);
    REQUIRE(outcome.answer.body == "whole");
}

TEST_CASE("Early answer: the connection of a failed upload is not used again")
{
    UploadMesh mesh{1};
    auto &server = *mesh.nodes[0]->server;
    server.setRespondEarly({kEarly, false, [](const http::Request &head) {
                                return resetAfter(ScriptedServer::good(head, "whole"), Millis{0});
                            }});
    REQUIRE(upload(mesh, "/slow/").answer.status == 200);
    REQUIRE(mesh.callAndWait(0, "POST", "/once/").answer.status == 200);
    REQUIRE(server.seen.size() == 1);
}
