#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;

namespace {

/*! Longer than servers can be silent before their entries expire. */
constexpr Millis kOutage{3500};
constexpr Millis kReadTime{500};
/*! After the end of an outage, servers have renewed the entries that expired during it. */
constexpr Millis kRenewed{2800};

/*! Two nodes and one server, which is beside node 1. */
struct OneServer
{
    OneServer() { list(); }

    void list() { mesh.publish({}, {0}); }
    void remove() { mesh.publish({}, {0, 1}); }
    void endureOutage()
    {
        for (Millis passed{0}; passed < kOutage; passed += kReadTime) {
            mesh.run(kReadTime);
            mesh.failSource();
        }
    }
    /*! @return True if both nodes pass requests on to the server, false if neither does. */
    [[nodiscard]] bool isUsed()
    {
        const auto before = mesh.nodes[1]->server->seen.size();
        const auto first = mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.status;
        const auto second = mesh.callAndWait(1, "GET", "/safe/").answer.status;
        REQUIRE(first == second);
        REQUIRE(mesh.nodes[1]->server->seen.size() == before + (first == 200 ? 2 : 0));
        return first == 200;
    }

    Mesh mesh{2};
};

} // namespace

// Guards against requests to a server that left after an outage of the store, as if its entry had
// expired in the outage.
TEST_CASE("Outage then leave: a server that leaves after the outage gets no more requests")
{
    OneServer site;
    site.endureOutage();
    site.list();
    site.mesh.run(kRenewed);
    REQUIRE(site.isUsed());
    site.remove();
    REQUIRE_FALSE(site.isUsed());
}

// Guards against a failed read in calm that delays the removal of a server as an outage does.
TEST_CASE("Outage then leave: a read that fails once does not delay the removal of a server")
{
    OneServer site;
    site.mesh.failSource();
    REQUIRE(site.isUsed());
    site.remove();
    REQUIRE_FALSE(site.isUsed());
}

// Guards against servers that are given up because they could not renew their entries.
TEST_CASE("Outage then leave: a server whose entry expired in the outage is used until its renewal")
{
    OneServer site;
    site.endureOutage();
    site.remove();
    REQUIRE(site.isUsed());
    site.mesh.run(Millis{500});
    REQUIRE(site.isUsed());
    site.list();
    site.mesh.run(kRenewed);
    REQUIRE(site.isUsed());
}

// Guards against a server that is kept for good because its entry expired in an outage.
TEST_CASE("Outage then leave: a server that does not renew its entry is given up")
{
    OneServer site;
    site.endureOutage();
    site.remove();
    site.mesh.run(kRenewed);
    REQUIRE_FALSE(site.isUsed());
}
