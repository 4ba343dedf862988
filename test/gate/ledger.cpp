#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

#include "core/random.h"
#include "gate/ledger_home.h"
#include "gate/ledger_homes.h"
#include "gate/reservation.h"
#include "support/sample_config.h"
#include "wire/codec.h"

using namespace celeryramp;
using testsupport::at;

namespace {

const LedgerSettings kSettings{Millis{20'000}, false};
const LedgerSettings kFirstStart{Millis{20'000}, true};

/*! Homes and attempts of one key, with messages that a test delivers, drops or delays. */
class Ledger
{
public:
    explicit Ledger(bool voteAfterRestart = false) : m_voteAfterRestart{voteAfterRestart}
    {
        for (const auto &[name, server] : m_snapshot->model().servers) {
            m_homes.emplace(name, std::make_unique<LedgerHome>(name, kFirstStart, at(0)));
            m_homes.at(name)->onSnapshot(m_snapshot, at(0));
        }
        m_keyHomes = ledgerHomes(*m_snapshot, "acme/key");
    }

    [[nodiscard]] const std::vector<std::string> &keyHomes() const { return m_keyHomes; }
    [[nodiscard]] int granted() const { return m_granted; }
    [[nodiscard]] std::size_t pendingMessages() const { return m_messages.size(); }
    LedgerHome &home(const std::string &name) { return *m_homes.at(name); }

    void attempt(std::int64_t now)
    {
        const auto id = static_cast<std::uint64_t>(m_attempts.size() + 1);
        m_attempts.push_back({Reservation{m_keyHomes, at(now)}, false});
        for (const auto &name : m_keyHomes) {
            m_messages.push_back(
                    {name, ReserveMessage{id, "acme/key", "digest", "try" + std::to_string(id)},
                     id});
        }
    }

    void restart(const std::string &name, std::int64_t now)
    {
        // Messages in flight to the old process are lost with its connections.
        m_messages.erase(
                std::remove_if(m_messages.begin(), m_messages.end(),
                               [&](const PendingMessage &message) { return message.to == name; }),
                m_messages.end());
        m_homes.at(name) = std::make_unique<LedgerHome>(
                name, m_voteAfterRestart ? kFirstStart : kSettings, at(now));
        m_homes.at(name)->onSnapshot(m_snapshot, at(now));
    }

    void recover(const std::string &name, std::int64_t now)
    {
        for (const auto &other : home(name).recoverySources(at(now))) {
            home(name).onRecords(home(other).onRecover(at(now)), at(now));
        }
    }

    void deliver(std::size_t index, std::int64_t now, bool lose)
    {
        const auto i = index % m_messages.size();
        const auto message = m_messages[i];
        m_messages.erase(m_messages.begin() + std::ptrdiff_t(i));
        if (lose) {
            return;
        }
        if (const auto *reserve = std::get_if<ReserveMessage>(&message.message)) {
            m_messages.push_back(
                    {"", home(message.to).onReserve(*reserve, at(now)), message.attempt});
            return;
        }
        auto &attempt = m_attempts[message.attempt - 1];
        attempt.reservation.onVote(std::get<VoteMessage>(message.message));
        const bool grants = attempt.reservation.state(at(now)) == ReservationState::Granted;
        if (grants && !attempt.granted) {
            attempt.granted = true;
            ++m_granted;
        }
    }

private:
    struct PendingMessage
    {
        std::string to;
        Message message;
        std::uint64_t attempt = 0;
    };
    struct Attempt
    {
        Reservation reservation;
        bool granted = false;
    };

    bool m_voteAfterRestart;
    SnapshotPtr m_snapshot = testsupport::sampleSnapshot(1, {3, 2, 100.0, 50.0});
    std::map<std::string, std::unique_ptr<LedgerHome>> m_homes;
    std::vector<std::string> m_keyHomes;
    std::deque<PendingMessage> m_messages;
    std::vector<Attempt> m_attempts;
    int m_granted = 0;
};

/*! Runs a random schedule of attempts, losses and restarts on one key.
 *  @return Number of attempts that were granted. */
int grantsUnder(const std::vector<std::pair<int, int>> &steps, bool voteAfterRestart)
{
    Ledger ledger{voteAfterRestart};
    std::int64_t now = 0;
    for (const auto &[action, delay] : steps) {
        now += delay;
        const auto &name
                = ledger.keyHomes()[static_cast<std::size_t>(action) % ledger.keyHomes().size()];
        if (action < 10) {
            ledger.attempt(now);
        } else if (action < 14) {
            ledger.restart(name, now);
        } else if (action < 30) {
            ledger.recover(name, now);
        } else if (ledger.pendingMessages() > 0) {
            ledger.deliver(static_cast<std::size_t>(action) * 17, now, action % 11 == 0);
        }
        if (now > 19'000) {
            break; // Repeated requests are not recognized after the retention.
        }
    }
    return ledger.granted();
}

} // namespace

TEST_CASE("homes of a key are spread over the zones")
{
    const auto snapshot = testsupport::sampleSnapshot(1, {3, 4, 100.0, 50.0});
    const auto homes = ledgerHomes(*snapshot, "acme/key");
    REQUIRE(homes.size() == kLedgerHomes);
    std::set<std::string> zones;
    for (const auto &home : homes) {
        zones.insert(snapshot->findServer(home)->zone);
    }
    REQUIRE(zones.size() == 3);
    const auto small = testsupport::sampleSnapshot(1, {1, 2, 100.0, 50.0});
    REQUIRE(ledgerHomes(*small, "acme/key").size() == 2);
}

TEST_CASE("a repeated request finds the record of the first one and its stored answer")
{
    const auto snapshot = testsupport::sampleSnapshot(1);
    const auto key = std::string{"acme/key"};
    LedgerHome home{ledgerHomes(*snapshot, key).front(), kFirstStart, at(0)};
    home.onSnapshot(snapshot, at(0));
    REQUIRE(home.onReserve({1, key, "d", "first"}, at(1)).vote == Vote::Granted);
    REQUIRE(home.onReserve({2, key, "d", "second"}, at(2)).vote == Vote::Held);
    REQUIRE(home.onReserve({3, key, "other", "third"}, at(2)).vote == Vote::Mismatch);
    CompleteMessage done;
    done.record = {key, "d", "first", RecordState::Done, 201, {}, {"made"}, 0};
    home.onComplete(done, at(3));
    const auto vote = home.onReserve({4, key, "d", "fourth"}, at(4));
    REQUIRE(vote.vote == Vote::Held);
    REQUIRE(vote.record.front().body.data == "made");
}

TEST_CASE("a key can be reserved again only after its holder releases it")
{
    const auto snapshot = testsupport::sampleSnapshot(1);
    const auto key = std::string{"acme/key"};
    LedgerHome home{ledgerHomes(*snapshot, key).front(), kFirstStart, at(0)};
    home.onSnapshot(snapshot, at(0));
    REQUIRE(home.onReserve({1, key, "d", "first"}, at(1)).vote == Vote::Granted);
    CompleteMessage release;
    release.record.key = key;
    release.record.attempt = "somebody";
    release.release = true;
    home.onComplete(release, at(2));
    REQUIRE(home.onReserve({2, key, "d", "second"}, at(3)).vote == Vote::Held);
    release.record.attempt = "first";
    home.onComplete(release, at(4));
    REQUIRE(home.onReserve({3, key, "d", "third"}, at(5)).vote == Vote::Granted);
}

TEST_CASE("a new incarnation abstains until it has all records or the retention has passed")
{
    const auto snapshot = testsupport::sampleSnapshot(1);
    const auto key = std::string{"acme/key"};
    const auto self = ledgerHomes(*snapshot, key).front();
    LedgerHome home{self, kSettings, at(0)};
    home.onSnapshot(snapshot, at(0));
    REQUIRE(home.onReserve({1, key, "d", "a"}, at(100)).vote == Vote::Abstained);
    REQUIRE(home.recoverySources(at(100)).empty());
    const auto later = kVoteDelay.count();
    REQUIRE(home.recoverySources(at(later)).size() == snapshot->model().servers.size() - 1);
    for (const auto &server : home.recoverySources(at(later))) {
        home.onRecords({server, true, {}}, at(later));
    }
    REQUIRE(home.isComplete(at(later)));
    REQUIRE(home.onReserve({2, "acme/other", "d", "b"}, at(later)).vote != Vote::Held);
    LedgerHome oldHome{self, kSettings, at(0)};
    oldHome.onSnapshot(snapshot, at(0));
    REQUIRE(oldHome.onReserve({1, key, "d", "a"}, at(kSettings.retention.count())).vote
            == Vote::Granted);
}

TEST_CASE("after a configuration change a home abstains for keys that are new to it")
{
    const auto small = testsupport::sampleSnapshot(1, {3, 1, 100.0, 50.0});
    const auto large = testsupport::sampleSnapshot(2, {3, 8, 100.0, 50.0});
    int abstained = 0;
    int granted = 0;
    for (int i = 0; i < 200; ++i) {
        const auto key = "acme/" + std::to_string(i);
        const auto now = ledgerHomes(*large, key);
        for (const auto &name : now) {
            LedgerHome home{name, kFirstStart, at(0)};
            home.onSnapshot(small, at(0));
            home.onSnapshot(large, at(10));
            const auto before = ledgerHomes(*small, key);
            const bool held = std::find(before.begin(), before.end(), name) != before.end();
            const auto vote = home.onReserve({1, key, "d", "a"}, at(20)).vote;
            REQUIRE(vote == (held ? Vote::Granted : Vote::Abstained));
            (held ? granted : abstained) += 1;
            const auto after = kFirstStart.retention.count() + 10;
            home.tick(at(after));
            REQUIRE(home.onReserve({2, key + "x", "d", "a"}, at(after)).vote != Vote::Held);
        }
    }
    REQUIRE(abstained > 0);
    REQUIRE(granted > 0);
}

TEST_CASE("lost or delayed messages and restarts never grant two attempts of one key")
{
    REQUIRE(rc::check("random schedules", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                300, rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 120)));
        RC_ASSERT(grantsUnder(steps, false) <= 1);
    }));
}

TEST_CASE("such schedules grant two attempts if new incarnations vote immediately")
{
    // Shows that the test above fails without the mechanism that it checks.
    RandomEngine random{7};
    int maxGrants = 0;
    for (int run = 0; run < 300; ++run) {
        std::vector<std::pair<int, int>> steps;
        steps.reserve(300);
        for (int i = 0; i < 300; ++i) {
            steps.emplace_back(static_cast<int>(random.below(100)),
                               static_cast<int>(random.below(120)));
        }
        maxGrants = std::max(maxGrants, grantsUnder(steps, true));
        REQUIRE(grantsUnder(steps, false) <= 1);
    }
    REQUIRE(maxGrants > 1);
}

TEST_CASE("late votes do not grant a reservation")
{
    Reservation reservation{{"a", "b", "c"}, at(0)};
    reservation.onVote({1, "a", Vote::Granted, {}});
    REQUIRE(reservation.state(at(10)) == ReservationState::Open);
    reservation.onVote({1, "a", Vote::Granted, {}});
    REQUIRE(reservation.state(at(10)) == ReservationState::Open);
    reservation.onVote({1, "b", Vote::Granted, {}});
    REQUIRE(reservation.state(at(10)) == ReservationState::Granted);
    REQUIRE(reservation.state(at(kReservationTimeout.count())) == ReservationState::Failed);
}

TEST_CASE("a reservation fails when two of three homes are unreachable")
{
    Reservation reservation{{"a", "b", "c"}, at(0)};
    reservation.onUnreachable("a");
    reservation.onUnreachable("b");
    REQUIRE(reservation.state(at(1)) == ReservationState::Failed);
}
