#include "checker/checker.h"

#include <algorithm>
#include <fstream>
#include <set>

#include <nlohmann/json.hpp>

namespace standin {

namespace {

constexpr double kMicros = 1e6;

using Violations = std::vector<Violation>;
using StartsByRequest = std::map<std::string, const RunRecord *>;

void tell(Violations &violations, const std::string &promise, std::string text)
{
    violations.push_back({promise, std::move(text)});
}

StartsByRequest startsByRequest(const RunHistory &history)
{
    StartsByRequest starts;
    for (const auto &run : history.runs) {
        if (run.event == "start" && !run.request.empty()) {
            starts.emplace(run.request, &run);
        }
    }
    return starts;
}

void checkAtMostOnce(const RunHistory &history, Violations &violations)
{
    std::map<std::string, std::string> sentOnce;
    for (const auto &send : history.sends) {
        if (send.atMostOnce) {
            sentOnce.emplace(send.call, send.account);
        }
    }
    std::map<std::string, int> starts;
    for (const auto &run : history.runs) {
        if (run.event == "start" && sentOnce.count(run.call) > 0 && ++starts[run.call] == 2) {
            tell(violations, "at-most-once", run.call + " ran more than once");
        }
    }
}

void checkNotRunIsTrue(const RunHistory &history, const StartsByRequest &starts,
                       Violations &violations)
{
    for (const auto &send : history.sends) {
        if (send.outcome == "not-run" && starts.count(send.request) > 0) {
            tell(violations, "not-run",
                 send.call + " was told not-run and ran at " + starts.at(send.request)->server);
        }
    }
}

void checkOwnAnswer(const RunHistory &history, Violations &violations)
{
    for (const auto &send : history.sends) {
        const bool success = send.outcome == "answered" && send.status < 500;
        if (success && !send.own) {
            tell(violations, "own-answer", send.call + " got another call's answer");
        }
    }
}

void checkAccounts(const RunHistory &history, const StartsByRequest &starts, Violations &violations)
{
    for (const auto &run : history.runs) {
        if (run.keySeen) {
            tell(violations, "keys", run.server + " saw a key");
        }
    }
    for (const auto &send : history.sends) {
        const auto it = starts.find(send.request);
        if (it != starts.end() && it->second->account != send.account
            && !it->second->account.empty()) {
            tell(violations, "keys",
                 send.call + " of " + send.account + " ran for " + it->second->account);
        }
    }
}

/*!
 * When a change that operators published at this time can be known everywhere: at once, or at the
 * end of the outage, staleness or cut in which it was published.
 */
std::int64_t knowableAt(std::int64_t published, const RunHistory &history)
{
    auto at = published;
    for (const auto &span : history.blind) {
        if (published >= span.from && published < span.until) {
            at = std::max(at, span.until);
        }
    }
    return at;
}

void checkWithdrawnKeys(const RunHistory &history, const StartsByRequest &starts,
                        Violations &violations)
{
    for (const auto &send : history.sends) {
        const auto it = starts.find(send.request);
        if (it == starts.end()) {
            continue;
        }
        for (const auto &span : history.keysWithdrawn) {
            const auto at = it->second->at;
            const auto from = knowableAt(span.from, history) + kInForceMicros;
            if (send.key == span.name && at > from && at < span.until) {
                tell(violations, "withdrawn-key",
                     send.call + " ran with the withdrawn key " + span.name);
            }
        }
    }
}

void checkSpans(const RunHistory &history, const std::vector<ForbiddenSpan> &spans,
                const std::string &promise, std::string RunRecord::*member, Violations &violations)
{
    for (const auto &run : history.runs) {
        if (run.event != "start") {
            continue;
        }
        for (const auto &span : spans) {
            const auto from = knowableAt(span.from, history) + kInForceMicros;
            const bool inside = run.at > from && run.at < span.until;
            if (inside && run.*member == span.name) {
                tell(violations, promise,
                     run.call + " started at " + run.server + " in " + run.zone);
            }
        }
    }
}

void checkNewServers(const RunHistory &history, Violations &violations)
{
    std::map<std::string, std::int64_t> upAt;
    auto runs = history.runs;
    std::sort(runs.begin(), runs.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    for (const auto &run : runs) {
        if (run.event == "up") {
            upAt[run.server] = run.at;
        }
        if (run.event == "cold") {
            upAt.erase(run.server); // cold without warning is another matter than new
        }
        const auto it = upAt.find(run.server);
        if (run.event == "shed" && it != upAt.end() && run.at - it->second < kNewServerMicros) {
            tell(violations, "cold-server", run.server + " got more than it bears when new");
        }
    }
}

/*!
 * A call was admitted between its send and its start, so calls that start within a window were
 * admitted within that window and the longest such delay before it.
 */
void checkRate(const std::string &account, const RateLimit &limit, const RunHistory &history,
               const StartsByRequest &starts, Violations &violations)
{
    std::vector<std::int64_t> times;
    std::int64_t longest = 0;
    for (const auto &send : history.sends) {
        const auto it = starts.find(send.request);
        if (send.account == account && it != starts.end()) {
            times.push_back(it->second->at);
            longest = std::max(longest, it->second->at - send.sentAt);
        }
    }
    std::sort(times.begin(), times.end());
    // The worst window ends at each start in turn; `best` belongs to the worst place to begin.
    double excess = 0.0;
    double best = -1e300;
    const auto delay = double(longest) / kMicros;
    for (std::size_t i = 0; i < times.size(); ++i) {
        const auto at = double(times[i] - times.front()) / kMicros;
        best = std::max(best, limit.rate * at - double(i));
        const auto admitted = double(i + 1) - limit.rate * at + best;
        excess = std::max(excess, admitted - limit.rate * delay - limit.burst);
    }
    if (excess > 0.0) {
        tell(violations, "rate",
             account + " exceeded its rate and burst by " + std::to_string(excess) + " calls");
    }
}

void checkAccountedFor(const RunHistory &history, Violations &violations)
{
    for (const auto &send : history.sends) {
        if (send.endAt == 0) {
            tell(violations, "accounted", send.call + " has no end");
        }
    }
}

void checkVersions(const RunHistory &history, Violations &violations)
{
    for (const auto &[server, versions] : history.versions) {
        for (std::size_t i = 1; i < versions.size(); ++i) {
            if (versions[i] < versions[i - 1]) {
                tell(violations, "version-back",
                     server + " went from " + std::to_string(versions[i - 1]) + " to "
                             + std::to_string(versions[i]));
            }
        }
    }
}

SendRecord sendOf(const nlohmann::json &line)
{
    SendRecord send;
    send.call = line.at("call").get<std::string>();
    send.send = line.at("send").get<int>();
    send.account = line.at("account").get<std::string>();
    send.key = line.at("key").get<std::string>();
    send.kind = line.at("kind").get<std::string>();
    send.node = line.at("node").get<std::string>();
    send.atMostOnce = line.at("at_most_once").get<bool>();
    send.targetMs = line.at("target_ms").get<double>();
    send.sentAt = line.at("t").get<std::int64_t>();
    send.dueAt = line.value("due", send.sentAt);
    send.endAt = line.value("end", std::int64_t{0});
    send.outcome = line.value("outcome", std::string{});
    send.reason = line.value("reason", std::string{});
    send.request = line.value("request", std::string{});
    send.status = line.value("status", 0);
    send.own = line.value("own", false);
    send.replayed = line.value("replayed", false);
    return send;
}

RunRecord runOf(const nlohmann::json &line)
{
    RunRecord run;
    run.at = line.at("t").get<std::int64_t>();
    run.event = line.at("event").get<std::string>();
    run.server = line.at("server").get<std::string>();
    run.zone = line.value("zone", std::string{});
    run.request = line.value("request", std::string{});
    run.call = line.value("call", std::string{});
    run.account = line.value("account", std::string{});
    run.path = line.value("path", std::string{});
    run.keySeen = line.value("key_seen", false);
    return run;
}

} // namespace

std::vector<Violation> checkHistory(const RunHistory &history)
{
    Violations violations;
    const auto starts = startsByRequest(history);
    checkAtMostOnce(history, violations);
    checkNotRunIsTrue(history, starts, violations);
    checkOwnAnswer(history, violations);
    checkAccounts(history, starts, violations);
    checkWithdrawnKeys(history, starts, violations);
    checkSpans(history, history.zonesOut, "zone-out", &RunRecord::zone, violations);
    checkSpans(history, history.serversLeaving, "leaving-server", &RunRecord::server, violations);
    checkNewServers(history, violations);
    for (const auto &[account, limit] : history.limits) {
        checkRate(account, limit, history, starts, violations);
    }
    checkAccountedFor(history, violations);
    checkVersions(history, violations);
    return violations;
}

void readJournal(const std::string &path, RunHistory &history)
{
    std::map<std::pair<std::string, int>, std::size_t> places;
    std::ifstream in{path};
    for (std::string text; std::getline(in, text);) {
        const auto line = nlohmann::json::parse(text, nullptr, false);
        if (!line.is_object()) {
            continue; // the writer was killed in mid-line
        }
        const auto event = line.value("event", std::string{});
        if (!line.contains("node")) {
            history.runs.push_back(runOf(line));
            continue;
        }
        auto send = sendOf(line);
        const auto key = std::make_pair(send.call, send.send);
        const auto [it, added] = places.emplace(key, history.sends.size());
        if (added) {
            history.sends.push_back(std::move(send));
        } else {
            history.sends[it->second] = std::move(send);
        }
    }
}

} // namespace standin
