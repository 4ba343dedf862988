#include <catch2/catch.hpp>

#include "crowd/crowd_site.h"
#include "http/message.h"

using namespace celeryramp;
using test::CrowdSite;

namespace {

constexpr std::size_t kCallers = 30;
/*! Callers of a crowd that end their requests; the others stop just short of it. */
constexpr std::size_t kWhole = 3;
/*! A process stays within the memory that it was given. */
constexpr std::size_t kMemoryBound = std::size_t{CrowdSite::kMemoryMegabytes} << 20U;
/*! Connections of the crowd, of peers and servers, and what the process needs itself. */
constexpr std::size_t kDescriptorBound = 200;
constexpr std::size_t kPiece = 50'000;

std::string head(const std::string &framing)
{
    return "POST /w/100 HTTP/1.1\r\nHost: crowd.example\r\nAttempt-Id: crowd\r\nDeadline-Ms: "
           "4000\r\n"
            + framing + "\r\n\r\n";
}

std::string chunk(std::size_t size)
{
    return http::chunkHeader(size) + std::string(size, 'c') + "\r\n";
}

/*! @return Many chunks in one piece, to be sent together. */
std::string chunks(std::size_t size, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += chunk(size);
    }
    return text;
}

void check(CrowdSite &site)
{
    site.runUntilSettled();
    REQUIRE(site.areAllRunning());
    REQUIRE(site.peakMemory() > 0); // 0 where nothing can be read
    REQUIRE(site.descriptors() > 0);
    CHECK(site.peakMemory() <= kMemoryBound);
    CHECK(site.descriptors() <= kDescriptorBound);
    CHECK(site.isServed(1'000));
    REQUIRE(site.areAllRunning());
    CHECK(site.peakMemory() <= kMemoryBound);
}

} // namespace

TEST_CASE("Crowd: a single body of legal size is served in calm")
{
    CrowdSite site;
    REQUIRE(site.isServed(CrowdSite::kBodyLimit));
    REQUIRE(site.areAllRunning());
    CHECK(site.peakMemory() <= kMemoryBound);
}

TEST_CASE("Crowd: many large bodies of legal size sent whole")
{
    CrowdSite site;
    REQUIRE(site.isServed(1'000));
    const auto length = "Content-Length: " + std::to_string(CrowdSite::kBodyLimit);
    site.open(
            kCallers, 1,
            [&](std::size_t) { return head(length) + std::string(CrowdSite::kBodyLimit, 'w'); },
            kCallers);
    check(site);
}

TEST_CASE("Crowd: many large bodies piece by piece - most stop just short of their end")
{
    CrowdSite site;
    REQUIRE(site.isServed(1'000));
    const auto length = "Content-Length: " + std::to_string(CrowdSite::kBodyLimit);
    constexpr std::size_t kPieces = CrowdSite::kBodyLimit / kPiece;
    site.open(
            kCallers, kPieces + 1,
            [&](std::size_t i) {
                // The last piece is the last byte.
                const auto size = i + 1 < kPieces ? kPiece : i + 1 == kPieces ? kPiece - 1 : 1;
                return (i == 0 ? head(length) : "") + std::string(size, 'p');
            },
            kWhole);
    check(site);
}

TEST_CASE("Crowd: bodies far over the limit - announced")
{
    CrowdSite site;
    REQUIRE(site.isServed(1'000));
    site.open(kCallers, 200, [](std::size_t i) {
        return (i == 0 ? head("Content-Length: 1000000000") : "") + std::string(kPiece, 'a');
    });
    check(site);
}

TEST_CASE("Crowd: bodies far over the limit - just sent")
{
    CrowdSite site;
    REQUIRE(site.isServed(1'000));
    site.open(kCallers, 200, [](std::size_t i) {
        return (i == 0 ? head("Transfer-Encoding: chunked") : "") + chunk(kPiece);
    });
    check(site);
}

TEST_CASE("Crowd: many chunked bodies in large chunks")
{
    CrowdSite site;
    REQUIRE(site.isServed(1'000));
    constexpr std::size_t kLarge = 1'000'000;
    site.open(
            kCallers, 5,
            [](std::size_t i) {
                return i == 0   ? head("Transfer-Encoding: chunked") + chunk(kLarge)
                        : i < 4 ? chunk(i < 3 ? kLarge : kLarge - 1)
                                : std::string{"0\r\n\r\n"};
            },
            kWhole);
    check(site);
}

TEST_CASE("Crowd: many chunked bodies in very small chunks")
{
    CrowdSite site;
    REQUIRE(site.isServed(1'000));
    constexpr std::size_t kSmall = 50;
    constexpr std::size_t kPieces = CrowdSite::kBodyLimit / kPiece;
    site.open(
            kCallers, kPieces + 1,
            [](std::size_t i) {
                return (i == 0 ? head("Transfer-Encoding: chunked") : "")
                        + (i < kPieces ? chunks(kSmall, kPiece / kSmall) : "0\r\n\r\n");
            },
            kWhole);
    check(site);
}

TEST_CASE("Crowd: many chunked bodies that stop just short of their end")
{
    CrowdSite site;
    REQUIRE(site.isServed(1'000));
    constexpr std::size_t kPieces = CrowdSite::kBodyLimit / kPiece;
    site.open(kCallers, kPieces + 1, [](std::size_t i) {
        return (i == 0 ? head("Transfer-Encoding: chunked") : "")
                + (i < kPieces ? chunk(kPiece) : "0\r\n\r\n");
    });
    check(site);
}
