#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <map>

#include "limits/account_share.h"
#include "limits/minter.h"
#include "limits/token_cache.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

/*! Token caches and minters of several nodes; tests delay, lose or duplicate the messages between
 * them.
 */
class Fleet
{
public:
    explicit Fleet(const testsupport::SampleShape &shape)
        : m_snapshot{testsupport::sampleSnapshot(1, shape)}
    {
        for (const auto &[name, server] : m_snapshot->model().servers) {
            m_names.push_back(name);
            m_minters.emplace(name, Minter{name});
            m_tokenCaches.emplace(name, TokenCache{server.zone});
            m_minters.at(name).onSnapshot(m_snapshot, at(0));
            m_tokenCaches.at(name).onSnapshot(m_snapshot, at(0));
        }
    }

    [[nodiscard]] const std::vector<std::string> &names() const { return m_names; }
    [[nodiscard]] const std::vector<std::int64_t> &admitted() const { return m_admitted; }
    [[nodiscard]] std::size_t pendingMessages() const
    {
        return m_requests.size() + m_grants.size();
    }

    /*! Tries to admit a call at a node. If it has to wait, `deliver` tries again. */
    bool call(const std::string &name, std::int64_t now)
    {
        std::vector<std::string> tried;
        return admit(name, tried, now);
    }

    void deliver(std::size_t index, std::int64_t now, bool lose, bool duplicate)
    {
        if (!m_requests.empty() && (m_grants.empty() || index % 2 == 0)) {
            const auto i = index % m_requests.size();
            const auto request = m_requests[i];
            m_requests.erase(m_requests.begin() + std::ptrdiff_t(i));
            for (int n = lose ? 0 : (duplicate ? 2 : 1); n > 0; --n) {
                const auto grant = m_minters.at(request.tokenRequest.minter)
                                           .grant(request.tokenRequest.account,
                                                  request.tokenRequest.amount, at(now));
                m_grants.push_back({request.from, request.tokenRequest.id, grant, request.tried});
            }
        } else if (!m_grants.empty()) {
            const auto i = index % m_grants.size();
            const auto message = m_grants[i];
            m_grants.erase(m_grants.begin() + std::ptrdiff_t(i));
            for (int n = lose ? 0 : (duplicate ? 2 : 1); n > 0; --n) {
                m_tokenCaches.at(message.to).onGrant(message.id, message.grant, at(now));
                auto tried = message.tried;
                if (!tried.empty()) {
                    admit(message.to, tried, now);
                }
            }
        }
    }

    void restartMinter(const std::string &name, std::int64_t now)
    {
        m_minters.at(name) = Minter{name};
        m_minters.at(name).onSnapshot(m_snapshot, at(now));
    }

    void publish(const testsupport::SampleShape &shape, const std::string &name, std::int64_t now)
    {
        const auto snapshot = testsupport::sampleSnapshot(2, shape);
        m_minters.at(name).onSnapshot(snapshot, at(now));
        m_tokenCaches.at(name).onSnapshot(snapshot, at(now));
    }

    Minter &minter(const std::string &name) { return m_minters.at(name); }

private:
    struct RequestMessage
    {
        std::string from;
        TokenRequest tokenRequest;
        std::vector<std::string> tried;
    };
    struct GrantMessage
    {
        std::string to;
        std::uint64_t id = 0;
        Grant grant;
        std::vector<std::string> tried;
    };

    bool admit(const std::string &name, std::vector<std::string> &tried, std::int64_t now)
    {
        const auto &account = *m_snapshot->findAccount("acme");
        const auto result = m_tokenCaches.at(name).admit(account, tried, at(now));
        if (result.request) {
            m_requests.push_back(
                    {name, *result.request,
                     result.admission == Admission::Wait ? tried : std::vector<std::string>{}});
        }
        if (result.admission == Admission::Admitted) {
            m_admitted.push_back(now);
        }
        return result.admission == Admission::Admitted;
    }

    SnapshotPtr m_snapshot;
    std::vector<std::string> m_names;
    std::map<std::string, Minter> m_minters;
    std::map<std::string, TokenCache> m_tokenCaches;
    std::deque<RequestMessage> m_requests;
    std::deque<GrantMessage> m_grants;
    std::vector<std::int64_t> m_admitted;
};

/*! Largest excess over rate * window + burst in calls, over all windows; 0 or less if the bound
 *  holds. */
double excess(const std::vector<std::int64_t> &times, double rate, double burst)
{
    double worst = -burst;
    for (std::size_t i = 0; i < times.size(); ++i) {
        for (std::size_t j = i; j < times.size(); ++j) {
            const auto window = double(times[j] - times[i]) / 1000.0;
            worst = std::max(worst, double(j - i + 1) - rate * window - burst);
        }
    }
    return worst;
}

} // namespace

TEST_CASE("the shares of all minters never exceed the account's rate and burst")
{
    REQUIRE(rc::check("any fleet", [] {
        testsupport::SampleShape shape;
        shape.zones = *rc::gen::inRange(1, 5);
        shape.serversPerZone = *rc::gen::inRange(1, 8);
        shape.rate = *rc::gen::inRange(1, 2000);
        shape.burst = *rc::gen::inRange(1, 4000);
        const auto snapshot = testsupport::sampleSnapshot(1, shape);
        const auto &account = *snapshot->findAccount("acme");
        double rate = 0.0;
        double bound = 0.0;
        for (const auto &[name, server] : snapshot->model().servers) {
            const auto share = shareOf(*snapshot, account, name);
            const auto lifetime = std::chrono::duration<double>(share.grantLifetime).count();
            rate += share.ratePerSecond / double(kMicroTokensPerCall);
            bound += (double(share.capacity) + share.ratePerSecond * lifetime)
                    / double(kMicroTokensPerCall);
        }
        RC_ASSERT(rate <= shape.rate * (1.0 + 1e-9));
        RC_ASSERT(bound <= shape.burst * (1.0 + 1e-9));
    }));
}

TEST_CASE("lost or delayed messages and restarts and configuration changes never exceed rate and "
          "burst")
{
    REQUIRE(rc::check("random schedules", [] {
        testsupport::SampleShape shape;
        shape.zones = *rc::gen::inRange(1, 4);
        shape.serversPerZone = *rc::gen::inRange(1, 4);
        shape.rate = *rc::gen::inRange(5, 200);
        shape.burst = *rc::gen::inRange(1, 100);
        Fleet fleet{shape};
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                400, rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 60)));
        std::int64_t now = 0;
        std::size_t turn = 0;
        double rate = shape.rate;
        double burst = shape.burst;
        for (const auto &[action, delay] : steps) {
            const auto &name = fleet.names()[turn++ % fleet.names().size()];
            now += delay < 40 ? delay / 8 : delay * 4;
            if (action < 50) {
                fleet.call(name, now);
            } else if (action < 90) {
                fleet.deliver(static_cast<std::size_t>(action) * 31 + turn, now, action % 10 == 0,
                              false);
            } else if (action < 94) {
                fleet.restartMinter(name, now);
            } else if (action < 96) {
                fleet.minter(name).suspend(at(now));
                fleet.minter(name).resume(at(now + 1));
            } else if (action < 98) {
                auto changed = shape;
                changed.rate = shape.rate * 2;
                changed.burst = shape.burst * 2;
                fleet.publish(changed, name, now);
                rate = changed.rate;
                burst = changed.burst;
            }
        }
        RC_ASSERT(excess(fleet.admitted(), rate, burst) <= 0.0);
    }));
}

TEST_CASE("an increased share takes effect after a delay and a reduced share immediately")
{
    const auto before = testsupport::sampleSnapshot(1, {1, 1, 100.0, 100.0});
    const auto more = testsupport::sampleSnapshot(2, {1, 1, 1000.0, 1000.0});
    const auto less = testsupport::sampleSnapshot(3, {1, 1, 10.0, 10.0});
    Minter minter{"s-z0-0"};
    minter.onSnapshot(before, at(0));
    minter.onSnapshot(more, at(0));
    const auto all = 10'000 * kMicroTokensPerCall;
    static_cast<void>(minter.grant("acme", all, at(0)));
    REQUIRE(minter.grant("acme", all, at(1000)).granted <= 100 * kMicroTokensPerCall);
    const auto later = kShareGrowthDelay.count();
    static_cast<void>(minter.grant("acme", all, at(later)));
    REQUIRE(minter.grant("acme", all, at(later + 400)).granted > 300 * kMicroTokensPerCall);
    minter.onSnapshot(less, at(later + 400));
    REQUIRE(minter.grant("acme", all, at(later + 1400)).granted <= 10 * kMicroTokensPerCall);
}

TEST_CASE("the buckets of a new incarnation start empty")
{
    Minter minter{"s-z0-0"};
    minter.onSnapshot(testsupport::sampleSnapshot(1, {1, 1, 100.0, 100.0}), at(0));
    REQUIRE(minter.grant("acme", kMicroTokensPerCall, at(0)).granted == 0);
    REQUIRE(minter.grant("other", kMicroTokensPerCall, at(1000)).granted == 0);
}

TEST_CASE("a suspended minter grants nothing until it resumes")
{
    Minter minter{"s-z0-0"};
    minter.onSnapshot(testsupport::sampleSnapshot(1, {1, 1, 100.0, 100.0}), at(0));
    minter.suspend(at(500));
    REQUIRE(minter.grant("acme", kMicroTokensPerCall, at(2000)).granted == 0);
    minter.resume(at(2000));
    REQUIRE(minter.grant("acme", kMicroTokensPerCall, at(2000)).granted == 0);
    REQUIRE(minter.grant("acme", kMicroTokensPerCall, at(2100)).granted == kMicroTokensPerCall);
}

TEST_CASE("an expired grant adds no tokens")
{
    const auto snapshot = testsupport::sampleSnapshot(1, {1, 1, 100.0, 100.0});
    TokenCache tokenCache{"z0"};
    tokenCache.onSnapshot(snapshot, at(0));
    std::vector<std::string> tried;
    const auto result = tokenCache.admit(*snapshot->findAccount("acme"), tried, at(0));
    REQUIRE(result.request);
    const auto lifetime = grantLifetime(*snapshot->findAccount("acme"));
    tokenCache.onGrant(result.request->id, {result.request->amount, 0, lifetime},
                       at(lifetime.count()));
    REQUIRE(tokenCache.balance("acme", at(lifetime.count())) == 0);
}

TEST_CASE("calls within the rate are almost never refused")
{
    Fleet fleet{{3, 2, 200.0, 100.0}};
    int refused = 0;
    std::int64_t now = 2000;
    for (int i = 0; i < 1000; ++i, now += 6) {
        const auto before = fleet.admitted().size();
        fleet.call(fleet.names()[static_cast<std::size_t>(i) % fleet.names().size()], now);
        while (fleet.pendingMessages() > 0) {
            fleet.deliver(0, now, false, false);
        }
        refused += fleet.admitted().size() == before ? 1 : 0;
    }
    REQUIRE(refused <= 5);
}
