/*! @file
 *  Wrongful refusals: calls refused although one bucket for the whole site would have admitted
 * them, at several shares of the rate and with skewed entry, against a static split over all nodes;
 * and through the cut of a zone, against a single home. Time and messages are simulated, decisions
 * are the real ones; the same seed gives the same figures.
 */

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>

#include "common/figure.h"
#include "config/parse.h"
#include "core/random.h"
#include "lab/deployment.h"
#include "limits/account_share.h"
#include "limits/minter.h"
#include "limits/token_cache.h"

namespace {

using namespace celeryramp;

constexpr double kSeconds = 60.0;
constexpr double kHomeEntryShare = 0.7; /*!< Of an account's calls enter by one zone. */
constexpr std::int64_t kTokenWaitMicros = 100'000;
constexpr std::int64_t kLocalMicros = 150;

/*! Whole bucket of an account, as if the site were one process. */
class WholeBucket
{
public:
    WholeBucket(double rate, double burst) : m_rate{rate}, m_burst{burst}, m_level{burst} { }

    bool take(double now)
    {
        m_level = std::min(m_burst, m_level + m_rate * (now - m_at));
        m_at = now;
        if (m_level < 1.0) {
            return false;
        }
        m_level -= 1.0;
        return true;
    }

private:
    double m_rate;
    double m_burst;
    double m_level;
    double m_at = 0.0;
};

struct Counts
{
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongful = 0;
    std::uint64_t messages = 0;

    [[nodiscard]] double wrongfulPercent() const
    {
        return calls == 0 ? 0.0 : 100.0 * double(wrongful) / double(calls);
    }
};

struct Cut
{
    std::string zone; /*!< Empty for none. */
    double from = 20.0;
    double until = 40.0;

    [[nodiscard]] bool parts(const std::string &a, const std::string &b, double now) const
    {
        return !zone.empty() && now >= from && now < until && (a == zone) != (b == zone);
    }
};

/*! Discrete events over real token caches and minters. */
class Fleet
{
public:
    Fleet(const standin::Deployment &deployment, double crossMicros, Cut cut)
        : m_crossMicros{static_cast<std::int64_t>(crossMicros)}, m_cut{std::move(cut)}
    {
        m_snapshot = buildSnapshot(makeDocument(1, deployment.parts())).value();
        for (const auto &[name, server] : m_snapshot->model().servers) {
            m_zones[name] = server.zone;
            m_minters.emplace(name, Minter{name});
            m_tokenCaches.emplace(name, TokenCache{server.zone});
            m_minters.at(name).onSnapshot(m_snapshot, at(0));
            m_tokenCaches.at(name).onSnapshot(m_snapshot, at(0));
        }
    }

    /*! Sends calls of all accounts for a while. */
    Counts run(double share, std::uint64_t seed, bool staticSplit)
    {
        RandomEngine random{seed};
        std::vector<std::string> names;
        for (const auto &[name, zone] : m_zones) {
            names.push_back(name);
        }
        std::map<std::string, WholeBucket> whole;
        std::map<std::pair<std::string, std::string>, WholeBucket> split;
        const auto nodes = double(names.size());
        std::size_t index = 0;
        for (const auto &[name, account] : m_snapshot->model().accounts) {
            whole.emplace(name, WholeBucket{account.rate, account.burst});
            for (const auto &node : names) {
                split.emplace(std::make_pair(name, node),
                              WholeBucket{account.rate / nodes, account.burst / nodes});
            }
            const auto zones = mintingZones(*m_snapshot);
            const auto &home = zones[index++ % zones.size()];
            double now = 3.0;
            while (now < kSeconds) {
                now += -std::log(1.0 - random.unit()) / (account.rate * share);
                const bool atHome = random.unit() < kHomeEntryShare;
                std::string entry;
                do {
                    entry = names[random.below(names.size())];
                } while ((m_zones[entry] == home) != atHome);
                schedule(micros(now), [this, &whole, &split, name = name, entry, now, staticSplit] {
                    ++m_counts.calls;
                    const bool fits = whole.at(name).take(now);
                    if (staticSplit) {
                        note(split.at({name, entry}).take(now), fits);
                        return;
                    }
                    admit(name, entry, {}, fits, micros(now) + kTokenWaitMicros);
                });
            }
        }
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            m_actions[event.action]();
            m_actions.erase(event.action);
        }
        return m_counts;
    }

private:
    struct Event
    {
        std::int64_t at = 0;
        std::uint64_t action = 0;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : action > other.action;
        }
    };

    static std::int64_t micros(double seconds) { return static_cast<std::int64_t>(seconds * 1e6); }
    static TimePoint at(std::int64_t us) { return TimePoint{} + Micros{1'000'000'000 + us}; }

    void schedule(std::int64_t when, std::function<void()> action)
    {
        m_actions.emplace(++m_lastAction, std::move(action));
        m_events.push({when, m_lastAction});
    }

    void note(bool admitted, bool fits)
    {
        m_counts.refused += admitted ? 0 : 1;
        m_counts.wrongful += !admitted && fits ? 1 : 0;
    }

    [[nodiscard]] std::int64_t delay(const std::string &from, const std::string &to) const
    {
        if (from == to) {
            return kLocalMicros / 10;
        }
        return kLocalMicros + (m_zones.at(from) == m_zones.at(to) ? 0 : m_crossMicros);
    }

    void admit(const std::string &account, const std::string &entry, std::vector<std::string> tried,
               bool fits, std::int64_t until)
    {
        const auto &found = *m_snapshot->findAccount(account);
        auto &wallet = m_tokenCaches.at(entry);
        const auto result = wallet.admit(found, tried, at(m_now));
        if (result.request) {
            ask(
                    *result.request, entry,
                    result.admission != Admission::Wait
                            ? std::function<void()>{}
                            : [this, account, entry, tried, fits, until] {
                                  if (m_now >= until) {
                                      note(false, fits);
                                      return;
                                  }
                                  admit(account, entry, tried, fits, until);
                              });
        }
        if (result.admission != Admission::Wait) {
            note(result.admission == Admission::Admitted, fits);
        }
    }

    void ask(const TokenRequest &ask, const std::string &entry, std::function<void()> then)
    {
        ++m_counts.messages;
        const auto seconds = double(m_now) / 1e6;
        if (m_cut.parts(m_zones.at(entry), m_zones.at(ask.minter), seconds)) {
            // The link is cut: nothing comes back, and the call waits its time.
            schedule(m_now + kTokenWaitMicros, [this, ask, entry, then = std::move(then)] {
                m_tokenCaches.at(entry).onUnreachable(ask.id, at(m_now));
                if (then) {
                    then();
                }
            });
            return;
        }
        const auto way = delay(entry, ask.minter);
        schedule(m_now + way, [this, ask, entry, way, then = std::move(then)] {
            const auto grant = m_minters.at(ask.minter).grant(ask.account, ask.amount, at(m_now));
            schedule(m_now + way, [this, ask, entry, grant, then] {
                m_tokenCaches.at(entry).onGrant(ask.id, grant, at(m_now));
                if (then) {
                    then();
                }
            });
        });
    }

    std::int64_t m_crossMicros;
    Cut m_cut;
    SnapshotPtr m_snapshot;
    std::map<std::string, std::string> m_zones;
    std::map<std::string, Minter> m_minters;
    std::map<std::string, TokenCache> m_tokenCaches;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, std::function<void()>> m_actions;
    std::uint64_t m_lastAction = 0;
    std::int64_t m_now = 0;
    Counts m_counts;
};

struct Site
{
    const char *name;
    double crossMicros;
};

constexpr std::array kSites{Site{"souss", 1000.0}, Site{"hokkaido", 500.0}};
constexpr std::array kShares{0.5, 0.9, 0.95, 0.99};
constexpr double kBoundTo95 = 0.1; /*!< Percent, up to 95 % of the rate. */
constexpr double kBoundAtCut = 2.0; /*!< Percent, for what the cut zone holds. */

} // namespace

int main()
{
    bench::FigureList figures;
    for (const auto &site : kSites) {
        const standin::Deployment deployment{standin::knownShape(site.name), 20000};
        for (const auto share : kShares) {
            const auto name = std::string{"limits "} + site.name + " at "
                    + std::to_string(static_cast<int>(share * 100)) + " % wrongful, ";
            const auto own = Fleet{deployment, site.crossMicros, {}}.run(share, 1, false);
            if (share <= 0.95) {
                figures.atMost(name + "minters", own.wrongfulPercent(), "%", kBoundTo95);
            } else {
                figures.tell(name + "minters", own.wrongfulPercent(), "%");
            }
            figures.tell(
                    name + "static split",
                    Fleet{deployment, site.crossMicros, {}}.run(share, 1, true).wrongfulPercent(),
                    "%");
            if (share == 0.9) {
                figures.tell(std::string{"limits "} + site.name + " token requests per call",
                             double(own.messages) / double(own.calls), "messages");
            }
        }
        // Through a cut of one zone, entry spread evenly over the zones would be a third or a
        // quarter of the rate; calls come at a quarter of the rate, which the cut zone's own
        // minters hold.
        const auto cut = Fleet{deployment, site.crossMicros, {"a", 20.0, 40.0}}.run(0.25, 1, false);
        figures.atMost(std::string{"limits "} + site.name + " through a zone cut wrongful, minters",
                       cut.wrongfulPercent(), "%", kBoundAtCut);
    }
    return figures.exitCode();
}
