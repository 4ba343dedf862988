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
const LedgerSettings kFirst{Millis{20'000}, true};

/*! Homes, attempts on one key, and messages that a test delivers, loses or holds back. */
class Ledger
{
public:
    explicit Ledger(bool vouchAfterRestart = false) : m_vouchAfterRestart{vouchAfterRestart}
    {
        for (const auto &[name, server] : m_snapshot->model().servers) {
            m_homes.emplace(name, std::make_unique<LedgerHome>(name, kFirst, at(0)));
            m_homes.at(name)->onSnapshot(m_snapshot, at(0));
        }
        m_keyHomes = ledgerHomes(*m_snapshot, "acme/key");
    }

    [[nodiscard]] const std::vector<std::string> &keyHomes() const { return m_keyHomes; }
    [[nodiscard]] int granted() const { return m_granted; }
    [[nodiscard]] std::size_t waiting() const { return m_letters.size(); }
    LedgerHome &home(const std::string &name) { return *m_homes.at(name); }

    void attempt(std::int64_t now)
    {
        const auto id = static_cast<std::uint64_t>(m_attempts.size() + 1);
        m_attempts.push_back({Reservation{m_keyHomes, at(now)}, false});
        for (const auto &name : m_keyHomes) {
            m_letters.push_back(
                    {name, ReserveMessage{id, "acme/key", "digest", "try" + std::to_string(id)},
                     id});
        }
    }

    void restart(const std::string &name, std::int64_t now)
    {
        // Whatever was on its way to the old process is gone with its connections.
        m_letters.erase(std::remove_if(m_letters.begin(), m_letters.end(),
                                       [&](const Letter &letter) { return letter.to == name; }),
                        m_letters.end());
        m_homes.at(name) = std::make_unique<LedgerHome>(
                name, m_vouchAfterRestart ? kFirst : kSettings, at(now));
        m_homes.at(name)->onSnapshot(m_snapshot, at(now));
    }

    void recover(const std::string &name, std::int64_t now)
    {
        for (const auto &other : home(name).wantedRecords(at(now))) {
            home(name).onRecords(home(other).onRecover(at(now)), at(now));
        }
    }

    void deliver(std::size_t pick, std::int64_t now, bool lose)
    {
        const auto i = pick % m_letters.size();
        const auto letter = m_letters[i];
        m_letters.erase(m_letters.begin() + std::ptrdiff_t(i));
        if (lose) {
            return;
        }
        if (const auto *reserve = std::get_if<ReserveMessage>(&letter.message)) {
            m_letters.push_back({"", home(letter.to).onReserve(*reserve, at(now)), letter.attempt});
            return;
        }
        auto &attempt = m_attempts[letter.attempt - 1];
        attempt.reservation.onVote(std::get<VoteMessage>(letter.message));
        const bool grants = attempt.reservation.state(at(now)) == ReservationState::Granted;
        if (grants && !attempt.granted) {
            attempt.granted = true;
            ++m_granted;
        }
    }

private:
    struct Letter
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

    bool m_vouchAfterRestart;
    SnapshotPtr m_snapshot = testsupport::sampleSnapshot(1, {3, 2, 100.0, 50.0});
    std::map<std::string, std::unique_ptr<LedgerHome>> m_homes;
    std::vector<std::string> m_keyHomes;
    std::deque<Letter> m_letters;
    std::vector<Attempt> m_attempts;
    int m_granted = 0;
};

/*! Runs a random schedule of attempts, losses and restarts on one key; returns grants. */
int grantsUnder(const std::vector<std::pair<int, int>> &steps, bool vouchAfterRestart)
{
    Ledger ledger{vouchAfterRestart};
    std::int64_t now = 0;
    for (const auto &[what, gap] : steps) {
        now += gap;
        const auto &name
                = ledger.keyHomes()[static_cast<std::size_t>(what) % ledger.keyHomes().size()];
        if (what < 10) {
            ledger.attempt(now);
        } else if (what < 14) {
            ledger.restart(name, now);
        } else if (what < 30) {
            ledger.recover(name, now);
        } else if (ledger.waiting() > 0) {
            ledger.deliver(static_cast<std::size_t>(what) * 17, now, what % 11 == 0);
        }
        if (now > 19'000) {
            break; // within the retention; later re-sends are no longer recognized
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

TEST_CASE("a second send meets the first one's record, and the kept answer")
{
    const auto snapshot = testsupport::sampleSnapshot(1);
    const auto key = std::string{"acme/key"};
    LedgerHome home{ledgerHomes(*snapshot, key).front(), kFirst, at(0)};
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

TEST_CASE("a released reservation is free again, a finished one is not")
{
    const auto snapshot = testsupport::sampleSnapshot(1);
    const auto key = std::string{"acme/key"};
    LedgerHome home{ledgerHomes(*snapshot, key).front(), kFirst, at(0)};
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

TEST_CASE("a new incarnation abstains until it has the records of the others or time has passed")
{
    const auto snapshot = testsupport::sampleSnapshot(1);
    const auto key = std::string{"acme/key"};
    const auto self = ledgerHomes(*snapshot, key).front();
    LedgerHome home{self, kSettings, at(0)};
    home.onSnapshot(snapshot, at(0));
    REQUIRE(home.onReserve({1, key, "d", "a"}, at(100)).vote == Vote::Abstained);
    REQUIRE(home.wantedRecords(at(100)).empty());
    const auto later = kVouchDelay.count();
    REQUIRE(home.wantedRecords(at(later)).size() == snapshot->model().servers.size() - 1);
    for (const auto &server : home.wantedRecords(at(later))) {
        home.onRecords({server, true, {}}, at(later));
    }
    REQUIRE(home.isComplete(at(later)));
    REQUIRE(home.onReserve({2, "acme/other", "d", "b"}, at(later)).vote != Vote::Held);
    LedgerHome patient{self, kSettings, at(0)};
    patient.onSnapshot(snapshot, at(0));
    REQUIRE(patient.onReserve({1, key, "d", "a"}, at(kSettings.retention.count())).vote
            == Vote::Granted);
}

TEST_CASE("a home only since a configuration change abstains for keys it did not hold before")
{
    const auto few = testsupport::sampleSnapshot(1, {3, 1, 100.0, 50.0});
    const auto many = testsupport::sampleSnapshot(2, {3, 8, 100.0, 50.0});
    int abstained = 0;
    int vouched = 0;
    for (int i = 0; i < 200; ++i) {
        const auto key = "acme/" + std::to_string(i);
        const auto now = ledgerHomes(*many, key);
        for (const auto &name : now) {
            LedgerHome home{name, kFirst, at(0)};
            home.onSnapshot(few, at(0));
            home.onSnapshot(many, at(10));
            const auto before = ledgerHomes(*few, key);
            const bool held = std::find(before.begin(), before.end(), name) != before.end();
            const auto vote = home.onReserve({1, key, "d", "a"}, at(20)).vote;
            REQUIRE(vote == (held ? Vote::Granted : Vote::Abstained));
            (held ? vouched : abstained) += 1;
            const auto after = kFirst.retention.count() + 10;
            home.tick(at(after));
            REQUIRE(home.onReserve({2, key + "x", "d", "a"}, at(after)).vote != Vote::Held);
        }
    }
    REQUIRE(abstained > 0);
    REQUIRE(vouched > 0);
}

TEST_CASE("no schedule of loss, delay and restarts grants two attempts of one key")
{
    REQUIRE(rc::check("random schedules", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                300, rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 120)));
        RC_ASSERT(grantsUnder(steps, false) <= 1);
    }));
}

TEST_CASE("the same schedules grant two attempts when new incarnations vouch at once")
{
    // The check above is worth something only if it fails without the mechanism.
    RandomEngine random{7};
    int most = 0;
    for (int run = 0; run < 300; ++run) {
        std::vector<std::pair<int, int>> steps;
        steps.reserve(300);
        for (int i = 0; i < 300; ++i) {
            steps.emplace_back(static_cast<int>(random.below(100)),
                               static_cast<int>(random.below(120)));
        }
        most = std::max(most, grantsUnder(steps, true));
        REQUIRE(grantsUnder(steps, false) <= 1);
    }
    REQUIRE(most > 1);
}

TEST_CASE("votes that come late grant nothing")
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

TEST_CASE("two homes out of reach refuse the attempt")
{
    Reservation reservation{{"a", "b", "c"}, at(0)};
    reservation.onUnreachable("a");
    reservation.onUnreachable("b");
    REQUIRE(reservation.state(at(1)) == ReservationState::Failed);
}
