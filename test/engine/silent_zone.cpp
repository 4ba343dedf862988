#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using standin::soak::LinkState;
using test::Mesh;
using test::Outcome;

namespace {

/*! @brief A node whose service has servers only in the other zone, with open links to them. */
struct CutZone
{
    CutZone()
    {
        mesh->publish({}, {0});
        for (int i = 0; i < 40 && !areAllUsed(); ++i) {
            REQUIRE(mesh->callAndWait(0, "POST", "/once/", {}, "x").answer.status == 200);
        }
        REQUIRE(areAllUsed());
    }

    [[nodiscard]] bool areAllUsed() const
    {
        return !mesh->nodes[1]->server->seen.empty() && !mesh->nodes[2]->server->seen.empty();
    }

    void setState(const LinkState &state)
    {
        for (const auto &proxy : mesh->proxies) {
            proxy->setState(state);
        }
    }

    /*! @brief Sends calls that must not be repeated, evenly over a time. */
    void load(Millis time)
    {
        for (Millis passed{0}; passed < time; passed += Millis{20}) {
            outcomes.push_back(std::make_shared<Outcome>());
            callers.push_back(mesh->call(0, "POST", "/slow/", outcomes.back(), {}, "x"));
            mesh->run(Millis{20});
        }
    }

    std::unique_ptr<Mesh> mesh = Mesh::withZoneBehindProxies(2);
    std::vector<std::shared_ptr<Outcome>> outcomes;
    std::vector<http::ClientConnectionPtr> callers;
};

} // namespace

TEST_CASE("Silent zone: once it is suspected calls are refused as not run")
{
    CutZone cut;
    cut.setState(LinkState::held());
    cut.load(Millis{500}); // less than a link takes to time out
    const auto outcome = cut.mesh->callAndWait(0, "POST", "/once/", {}, "x");
    REQUIRE(outcome.isDone);
    REQUIRE(outcome.answer.status == 503);
}

TEST_CASE("Silent zone: calls go to the own zone and repeatable ones move there")
{
    CutZone cut;
    const auto waiting = std::make_shared<Outcome>();
    cut.setState(LinkState::held());
    cut.callers.push_back(cut.mesh->call(0, "GET", "/safe/", waiting));
    cut.mesh->run(Millis{30});
    cut.mesh->publish(); // the own zone has a server now
    cut.load(Millis{600});
    REQUIRE(waiting->isDone);
    REQUIRE(waiting->answer.status == 200);
    REQUIRE(cut.mesh->callAndWait(0, "POST", "/once/", {}, "x").answer.status == 200);
}

TEST_CASE("Silent zone: it is used again after the cut")
{
    CutZone cut;
    cut.setState(LinkState::held());
    cut.load(Millis{800});
    cut.setState({});
    cut.mesh->run(Millis{1000});
    const auto before
            = cut.mesh->nodes[1]->server->seen.size() + cut.mesh->nodes[2]->server->seen.size();
    REQUIRE(cut.mesh->callAndWait(0, "POST", "/once/", {}, "x").answer.status == 200);
    REQUIRE(cut.mesh->nodes[1]->server->seen.size() + cut.mesh->nodes[2]->server->seen.size()
            > before);
}
