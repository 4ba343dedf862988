#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>
#include <vector>

#include "core/time.h"
#include "transport/peer_mesh.h"

using namespace celeryramp;

namespace {

constexpr std::uint16_t kPortOne = 29871;
constexpr std::uint16_t kPortTwo = 29872;
constexpr std::uint16_t kPortNobody = 29873;
constexpr Millis kPatience{10'000};

TlsFiles certificates()
{
    const std::string base = CELERYRAMP_CERTS;
    return {base + "/authority.pem", base + "/node.pem", base + "/node.key"};
}

/*! Records what a mesh tells, and answers calls. */
class Recorder : public PeerEvents
{
public:
    void onPeerMessage(const std::string &from, LinkId link, Message message) override
    {
        if (mesh != nullptr && std::holds_alternative<CallMessage>(message)) {
            const auto &call = std::get<CallMessage>(message);
            AnswerMessage answer;
            answer.id = call.id;
            answer.request = call.request;
            mesh->reply(link, answer);
        }
        note([&] { messages.emplace_back(from, std::move(message)); });
    }
    void onPeerUp(const std::string &name, LinkId /*link*/) override
    {
        note([&] { up.push_back(name); });
    }
    void onPeerLost(const std::string &name, LinkId /*link*/, bool wasRefused) override
    {
        note([&] {
            lost.push_back(name);
            refused = refused || wasRefused;
        });
    }
    void onUnsent(const std::string & /*name*/, std::uint64_t token) override
    {
        note([&] { unsent.push_back(token); });
    }
    PeerPlace placeOf(const std::string &name) override
    {
        if (name == "one") {
            return {{"127.0.0.1", kPortOne}, "a"};
        }
        if (name == "two") {
            return {{"127.0.0.1", kPortTwo}, "b"};
        }
        return name == "nobody" ? PeerPlace{{"127.0.0.1", kPortNobody}, "a"} : PeerPlace{};
    }

    template <typename Condition>
    bool await(Condition condition)
    {
        std::unique_lock lock{m_mutex};
        return m_changed.wait_for(lock, kPatience, condition);
    }

    PeerMesh *mesh = nullptr;
    std::vector<std::pair<std::string, Message>> messages;
    std::vector<std::string> up;
    std::vector<std::string> lost;
    std::vector<std::uint64_t> unsent;
    bool refused = false;

private:
    template <typename Change>
    void note(Change change)
    {
        {
            const std::lock_guard lock{m_mutex};
            change();
        }
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
};

struct Side
{
    MetricsRegistry metrics;
    LinkPolicy policy;
    Recorder recorder;
    PeerMesh mesh;

    Side(const std::string &name, const std::string &zone, std::uint16_t port)
        : mesh{{{name, zone, 1}, {"127.0.0.1", port}, certificates()}, recorder, policy, metrics}
    {
        recorder.mesh = &mesh;
        REQUIRE(mesh.start());
    }
};

} // namespace

TEST_CASE("a call goes over and its answer comes back on the same connection")
{
    Side one{"one", "a", kPortOne};
    Side two{"two", "b", kPortTwo};
    CallMessage call;
    call.id = 5;
    call.request = "r";
    REQUIRE(one.mesh.send("two", call, 5) != 0);
    REQUIRE(one.recorder.await([&] { return !one.recorder.messages.empty(); }));
    REQUIRE(one.recorder.messages.front().first == "two");
    REQUIRE(std::get<AnswerMessage>(one.recorder.messages.front().second).id == 5);
    REQUIRE(two.recorder.messages.front().first == "one");
    REQUIRE(one.mesh.links() == 1);
}

TEST_CASE("what could not be sent is reported, and that nobody listens")
{
    Side one{"one", "a", kPortOne};
    REQUIRE(one.mesh.send("nobody", CancelMessage{1}, 77) != 0);
    REQUIRE(one.recorder.await([&] { return !one.recorder.unsent.empty(); }));
    REQUIRE(one.recorder.unsent.front() == 77);
    REQUIRE(one.recorder.await([&] { return one.recorder.refused; }));
    REQUIRE(one.mesh.send("unknown", CancelMessage{1}, 78) == 0);
}

TEST_CASE("a peer that goes is reported")
{
    Side one{"one", "a", kPortOne};
    {
        Side two{"two", "b", kPortTwo};
        one.mesh.send("two", CancelMessage{1}, 0);
        REQUIRE(one.recorder.await([&] { return !one.recorder.up.empty(); }));
    }
    REQUIRE(one.recorder.await([&] { return !one.recorder.lost.empty(); }));
    REQUIRE(one.recorder.lost.front() == "two");
}

TEST_CASE("frames to and from cut zones vanish")
{
    Side one{"one", "a", kPortOne};
    Side two{"two", "b", kPortTwo};
    one.mesh.send("two", CancelMessage{1}, 0);
    REQUIRE(two.recorder.await([&] { return two.recorder.messages.size() == 1; }));
    one.policy.cutZones({"b"});
    REQUIRE(one.mesh.send("two", CancelMessage{2}, 0) != 0);
    one.policy.cutZones({});
    one.mesh.send("two", CancelMessage{3}, 0);
    REQUIRE(two.recorder.await([&] { return two.recorder.messages.size() == 2; }));
    REQUIRE(std::get<CancelMessage>(two.recorder.messages.back().second).id == 3);
}
