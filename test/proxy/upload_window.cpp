#include "proxy/upload_window.h"

#include <catch2/catch.hpp>

using namespace celeryramp::proxy;

TEST_CASE("Pattern: a gate that takes nothing - a window of a body is under way and no more")
{
    const std::string body(1'000'000, 'b');
    UploadWindow window;
    std::string sent;
    while (const auto part = window.next(7, body)) {
        REQUIRE(part->id == 7);
        REQUIRE(part->offset == sent.size());
        sent += part->bytes;
        window.onSent(part->bytes.size());
    }
    REQUIRE(sent.size() == kUploadWindowBytes);
    window.onCredit(kUploadPartBytes);
    REQUIRE(window.next(7, body)->offset == kUploadWindowBytes);
}

TEST_CASE("All of a body is sent once and a credit for more than was sent opens no more")
{
    const std::string body(kUploadPartBytes + 10, 'b');
    UploadWindow window;
    window.onCredit(1'000'000);
    const auto first = window.next(1, body);
    REQUIRE(window.next(1, body)->offset == 0); // not sent yet
    window.onSent(first->bytes.size());
    const auto last = window.next(1, body);
    REQUIRE(last->bytes.size() == 10);
    window.onSent(last->bytes.size());
    REQUIRE_FALSE(window.next(1, body));
}
