#include "node/document_fetcher.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "support/sample_config.h"

namespace {

using celeryramp::ConfigDocument;
using celeryramp::ConfigStamp;
using celeryramp::InstanceList;
using celeryramp::Manifest;
using celeryramp::Millis;
using celeryramp::PlatformError;
using celeryramp::PlatformErrorCode;
using celeryramp::Result;
using celeryramp::TimePoint;
using testsupport::at;

constexpr std::chrono::seconds kTimeout{10};

/*! Blocks each read of a part until the test allows it. */
class BlockingSource final : public celeryramp::PlatformSource
{
public:
    Result<std::optional<Manifest>, PlatformError> readManifest(std::uint64_t, Millis) override
    {
        return std::optional<Manifest>{};
    }
    Result<std::optional<InstanceList>, PlatformError> readInstances(std::uint64_t, Millis) override
    {
        return std::optional<InstanceList>{};
    }
    Result<std::string, PlatformError> readPart(const std::string &hash) override
    {
        std::unique_lock lock{m_mutex};
        m_asked.push_back(hash);
        m_changed.notify_all();
        m_changed.wait_for(lock, kTimeout, [this] { return m_allowed > 0; });
        --m_allowed;
        if (hash == "missing") {
            return PlatformError{PlatformErrorCode::Refused, "status 404"};
        }
        return "bytes of " + hash;
    }

    void allow(int n)
    {
        const std::lock_guard lock{m_mutex};
        m_allowed += n;
        m_changed.notify_all();
    }
    std::vector<std::string> awaitAsked(std::size_t n)
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait_for(lock, kTimeout, [&] { return m_asked.size() >= n; });
        return m_asked;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_asked;
    int m_allowed = 0;
};

class Target final : public celeryramp::DocumentTarget
{
public:
    bool isWanted(const ConfigStamp &stamp) const override
    {
        const std::lock_guard lock{m_mutex};
        return m_inForce.stamp() < stamp;
    }
    ConfigDocument document() const override
    {
        const std::lock_guard lock{m_mutex};
        return m_inForce;
    }
    void onDocument(ConfigDocument document, TimePoint readAt) override
    {
        const std::lock_guard lock{m_mutex};
        m_inForce = std::move(document);
        m_readAt = readAt;
        m_versions.push_back(m_inForce.manifest.version);
        m_changed.notify_all();
    }
    TimePoint readAt() const
    {
        const std::lock_guard lock{m_mutex};
        return m_readAt;
    }
    std::vector<std::uint64_t> awaitVersions(std::size_t n)
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait_for(lock, kTimeout, [&] { return m_versions.size() >= n; });
        return m_versions;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    ConfigDocument m_inForce;
    TimePoint m_readAt;
    std::vector<std::uint64_t> m_versions;
};

struct Site
{
    BlockingSource source;
    Target target;
    celeryramp::DocumentFetcher fetcher{source, target, 7};

    Site() { fetcher.start(); }
    ~Site()
    {
        source.allow(1000);
        fetcher.stop();
    }
};

} // namespace

TEST_CASE("A replaced version delays the next one by a single part")
{
    Site site;
    site.fetcher.want({1, {{"accounts", "a1"}, {"keys", "k1"}, {"zones", "z1"}}}, at(0));
    site.source.awaitAsked(1);
    site.fetcher.want({2, {{"accounts", "a1"}, {"keys", "k2"}, {"zones", "z2"}}}, at(0));
    site.source.allow(3);
    CHECK(site.target.awaitVersions(1) == std::vector<std::uint64_t>{2});
    CHECK(site.source.awaitAsked(3) == std::vector<std::string>{"a1", "k2", "z2"});
    CHECK(site.target.document().parts.at("accounts") == "bytes of a1");
}

TEST_CASE("Parts that are already in force are not read again")
{
    Site site;
    site.fetcher.want({1, {{"accounts", "a1"}, {"keys", "k1"}}}, at(0));
    site.source.allow(2);
    site.target.awaitVersions(1);
    site.fetcher.want({2, {{"accounts", "a1"}, {"keys", "k2"}}}, at(0));
    site.source.allow(1);
    site.target.awaitVersions(2);
    CHECK(site.source.awaitAsked(3) == std::vector<std::string>{"a1", "k1", "k2"});
}

TEST_CASE("A version with an unreadable part is replaced by the next one")
{
    Site site;
    site.fetcher.want({1, {{"accounts", "missing"}}}, at(0));
    site.source.allow(1);
    site.source.awaitAsked(1);
    site.fetcher.want({2, {{"accounts", "a2"}}}, at(0));
    site.source.allow(100);
    CHECK(site.target.awaitVersions(1) == std::vector<std::uint64_t>{2});
}

TEST_CASE("A request for an older version is ignored")
{
    Site site;
    site.source.allow(100);
    site.fetcher.want({2, {{"accounts", "a2"}}}, at(0));
    site.target.awaitVersions(1);
    site.fetcher.want({1, {{"accounts", "a1"}}}, at(0));
    site.fetcher.want({3, {{"accounts", "a3"}}}, at(0));
    CHECK(site.target.awaitVersions(2) == std::vector<std::uint64_t>{2, 3});
}

// Guards against a lost version that keeps the reader from the one which has its number now.
TEST_CASE("A version given out again replaces one whose parts are gone")
{
    const Manifest lost{2, {{"accounts", "missing"}}};
    Manifest again{2, {{"accounts", "a0"}}};
    for (int i = 1; again.digest() > lost.digest(); ++i) {
        again.parts["accounts"] = "a" + std::to_string(i);
    }
    Site site;
    site.fetcher.want(lost, at(0));
    site.source.allow(1);
    site.source.awaitAsked(2);
    site.fetcher.want(again, at(0));
    site.source.allow(100);
    CHECK(site.target.awaitVersions(1) == std::vector<std::uint64_t>{2});
}

// Guards against the same with two lost versions, of which only the first number is given out
// again.
TEST_CASE("An older version replaces one whose parts are gone")
{
    Site site;
    site.fetcher.want({3, {{"accounts", "missing"}}}, at(0));
    site.source.allow(1);
    site.source.awaitAsked(2);
    site.fetcher.want({2, {{"accounts", "a2"}}}, at(0));
    site.source.allow(100);
    CHECK(site.target.awaitVersions(1) == std::vector<std::uint64_t>{2});
}

// Guards against a document whose age counts from its last part.
TEST_CASE("A document carries the time of the last read of its manifest")
{
    Site site;
    site.fetcher.want({1, {{"accounts", "a1"}}}, at(0));
    site.source.awaitAsked(1);
    site.fetcher.want({1, {{"accounts", "a1"}}}, at(500));
    site.source.allow(1);
    site.target.awaitVersions(1);
    CHECK(site.target.readAt() == at(500));
}
