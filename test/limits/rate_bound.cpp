#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <map>

#include "limits/account_share.h"
#include "limits/minter.h"
#include "limits/wallet.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

/*! Wallets and minters of a fleet, joined by messages that are delayed, lost and doubled. */
class Fleet
{
public:
    explicit Fleet(const testsupport::SampleShape &shape)
        : m_snapshot{testsupport::sampleSnapshot(1, shape)}
    {
        for (const auto &[name, server] : m_snapshot->model().servers) {
            m_names.push_back(name);
            m_minters.emplace(name, Minter{name});
            m_wallets.emplace(name, Wallet{server.zone});
            m_minters.at(name).onSnapshot(m_snapshot, at(0));
            m_wallets.at(name).onSnapshot(m_snapshot, at(0));
        }
    }

    [[nodiscard]] const std::vector<std::string> &names() const { return m_names; }
    [[nodiscard]] const std::vector<std::int64_t> &admitted() const { return m_admitted; }
    [[nodiscard]] std::size_t waiting() const { return m_asks.size() + m_grants.size(); }

    /*! A call enters at a node; at most one wait is followed up in `deliver`. */
    bool call(const std::string &name, std::int64_t now)
    {
        std::vector<std::string> tried;
        return admit(name, tried, now);
    }

    void deliver(std::size_t pick, std::int64_t now, bool lose, bool twice)
    {
        if (!m_asks.empty() && (m_grants.empty() || pick % 2 == 0)) {
            const auto i = pick % m_asks.size();
            const auto ask = m_asks[i];
            m_asks.erase(m_asks.begin() + std::ptrdiff_t(i));
            for (int n = lose ? 0 : (twice ? 2 : 1); n > 0; --n) {
                const auto grant = m_minters.at(ask.ask.minter)
                                           .take(ask.ask.account, ask.ask.amount, at(now));
                m_grants.push_back({ask.from, ask.ask.id, grant, ask.tried});
            }
        } else if (!m_grants.empty()) {
            const auto i = pick % m_grants.size();
            const auto letter = m_grants[i];
            m_grants.erase(m_grants.begin() + std::ptrdiff_t(i));
            for (int n = lose ? 0 : (twice ? 2 : 1); n > 0; --n) {
                m_wallets.at(letter.to).onGrant(letter.id, letter.grant, at(now));
                auto tried = letter.tried;
                if (!tried.empty()) {
                    admit(letter.to, tried, now);
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
        m_wallets.at(name).onSnapshot(snapshot, at(now));
    }

    Minter &minter(const std::string &name) { return m_minters.at(name); }

private:
    struct Ask
    {
        std::string from;
        TokenAsk ask;
        std::vector<std::string> tried;
    };
    struct GrantLetter
    {
        std::string to;
        std::uint64_t id = 0;
        Grant grant;
        std::vector<std::string> tried;
    };

    bool admit(const std::string &name, std::vector<std::string> &tried, std::int64_t now)
    {
        const auto &account = *m_snapshot->findAccount("acme");
        const auto result = m_wallets.at(name).admit(account, tried, at(now));
        if (result.ask) {
            m_asks.push_back(
                    {name, *result.ask,
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
    std::map<std::string, Wallet> m_wallets;
    std::deque<Ask> m_asks;
    std::deque<GrantLetter> m_grants;
    std::vector<std::int64_t> m_admitted;
};

/*! Largest number of calls above rate * window + burst in any window; at most 0 when kept. */
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

TEST_CASE("shares of all minters add up to the account's rate and burst, never more")
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
            const auto life = std::chrono::duration<double>(share.grantLife).count();
            rate += share.ratePerSecond / double(kMicroTokensPerCall);
            bound += (double(share.capacity) + share.ratePerSecond * life)
                    / double(kMicroTokensPerCall);
        }
        RC_ASSERT(rate <= shape.rate * (1.0 + 1e-9));
        RC_ASSERT(bound <= shape.burst * (1.0 + 1e-9));
    }));
}

TEST_CASE("no schedule of loss, delay, doubling, restarts and changes exceeds rate and burst")
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
        for (const auto &[what, wait] : steps) {
            const auto &name = fleet.names()[turn++ % fleet.names().size()];
            now += wait < 40 ? wait / 8 : wait * 4;
            if (what < 50) {
                fleet.call(name, now);
            } else if (what < 90) {
                fleet.deliver(static_cast<std::size_t>(what) * 31 + turn, now, what % 10 == 0,
                              false);
            } else if (what < 94) {
                fleet.restartMinter(name, now);
            } else if (what < 96) {
                fleet.minter(name).suspend(at(now));
                fleet.minter(name).resume(at(now + 1));
            } else if (what < 98) {
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

TEST_CASE("a share that grows waits, a share that shrinks does not")
{
    const auto before = testsupport::sampleSnapshot(1, {1, 1, 100.0, 100.0});
    const auto more = testsupport::sampleSnapshot(2, {1, 1, 1000.0, 1000.0});
    const auto less = testsupport::sampleSnapshot(3, {1, 1, 10.0, 10.0});
    Minter minter{"s-z0-0"};
    minter.onSnapshot(before, at(0));
    minter.onSnapshot(more, at(0));
    const auto all = 10'000 * kMicroTokensPerCall;
    static_cast<void>(minter.take("acme", all, at(0)));
    REQUIRE(minter.take("acme", all, at(1000)).granted <= 100 * kMicroTokensPerCall);
    const auto later = kShareGrowthDelay.count();
    static_cast<void>(minter.take("acme", all, at(later)));
    REQUIRE(minter.take("acme", all, at(later + 400)).granted > 300 * kMicroTokensPerCall);
    minter.onSnapshot(less, at(later + 400));
    REQUIRE(minter.take("acme", all, at(later + 1400)).granted <= 10 * kMicroTokensPerCall);
}

TEST_CASE("a new incarnation starts empty")
{
    Minter minter{"s-z0-0"};
    minter.onSnapshot(testsupport::sampleSnapshot(1, {1, 1, 100.0, 100.0}), at(0));
    REQUIRE(minter.take("acme", kMicroTokensPerCall, at(0)).granted == 0);
    REQUIRE(minter.take("other", kMicroTokensPerCall, at(1000)).granted == 0);
}

TEST_CASE("a suspended minter gives nothing until it resumes")
{
    Minter minter{"s-z0-0"};
    minter.onSnapshot(testsupport::sampleSnapshot(1, {1, 1, 100.0, 100.0}), at(0));
    minter.suspend(at(500));
    REQUIRE(minter.take("acme", kMicroTokensPerCall, at(2000)).granted == 0);
    minter.resume(at(2000));
    REQUIRE(minter.take("acme", kMicroTokensPerCall, at(2000)).granted == 0);
    REQUIRE(minter.take("acme", kMicroTokensPerCall, at(2100)).granted == kMicroTokensPerCall);
}

TEST_CASE("grants that come late are worth nothing")
{
    const auto snapshot = testsupport::sampleSnapshot(1, {1, 1, 100.0, 100.0});
    Wallet wallet{"z0"};
    wallet.onSnapshot(snapshot, at(0));
    std::vector<std::string> tried;
    const auto result = wallet.admit(*snapshot->findAccount("acme"), tried, at(0));
    REQUIRE(result.ask);
    const auto life = grantLife(*snapshot->findAccount("acme"));
    wallet.onGrant(result.ask->id, {result.ask->amount, 0, life}, at(life.count()));
    REQUIRE(wallet.balance("acme", at(life.count())) == 0);
}

TEST_CASE("calls that come as fast as the rate are not refused")
{
    Fleet fleet{{3, 2, 200.0, 100.0}};
    int refused = 0;
    std::int64_t now = 2000;
    for (int i = 0; i < 1000; ++i, now += 6) {
        const auto before = fleet.admitted().size();
        fleet.call(fleet.names()[static_cast<std::size_t>(i) % fleet.names().size()], now);
        while (fleet.waiting() > 0) {
            fleet.deliver(0, now, false, false);
        }
        refused += fleet.admitted().size() == before ? 1 : 0;
    }
    REQUIRE(refused <= 5);
}
