#include "lab/report.h"

#include <algorithm>
#include <iomanip>
#include <map>

namespace standin {

namespace {

constexpr std::size_t kMaxTold = 20;
constexpr double kMicrosPerMilli = 1000.0;

struct Row
{
    std::size_t calls = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t inTarget = 0;
    std::vector<double> millis;

    void add(const SendRecord &send)
    {
        ++calls;
        const auto ms = double(send.endAt - send.dueAt) / kMicrosPerMilli;
        if (send.outcome == "answered") {
            ++answered;
            millis.push_back(ms);
            inTarget += send.status < 500 && ms <= send.targetMs ? 1 : 0;
        } else if (send.outcome == "not-run") {
            ++notRun;
        } else {
            ++unknown;
        }
    }

    [[nodiscard]] double quantile(double q)
    {
        if (millis.empty()) {
            return 0.0;
        }
        std::sort(millis.begin(), millis.end());
        return millis[static_cast<std::size_t>(q * double(millis.size() - 1))];
    }
};

void printRows(std::ostream &out, const std::string &title, std::map<std::string, Row> &rows)
{
    out << std::left << std::setw(22) << title << std::right << std::setw(8) << "calls"
        << std::setw(10) << "answered" << std::setw(9) << "not-run" << std::setw(9) << "unknown"
        << std::setw(11) << "in target" << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms"
        << '\n';
    for (auto &[name, row] : rows) {
        out << std::left << std::setw(22) << name << std::right << std::setw(8) << row.calls
            << std::setw(10) << row.answered << std::setw(9) << row.notRun << std::setw(9)
            << row.unknown << std::setw(10) << std::fixed << std::setprecision(2)
            << (row.calls == 0 ? 0.0 : 100.0 * double(row.inTarget) / double(row.calls)) << '%'
            << std::setw(9) << row.quantile(0.5) << std::setw(9) << row.quantile(0.99) << '\n';
    }
    out << '\n';
}

} // namespace

void printReport(std::ostream &out, const ScenarioReport &report, const RunHistory &history)
{
    std::map<std::string, Row> byKind;
    std::map<std::string, Row> byAccount;
    std::map<std::string, std::size_t> reasons;
    Row all;
    for (const auto &send : history.sends) {
        byKind[send.kind].add(send);
        byAccount[send.account].add(send);
        all.add(send);
        if (send.outcome != "answered") {
            ++reasons[send.outcome + " " + send.reason];
        }
    }
    printRows(out, "class", byKind);
    printRows(out, "account", byAccount);
    for (const auto &[reason, n] : reasons) {
        out << std::left << std::setw(34) << reason << std::right << std::setw(8) << n << '\n';
    }
    out << '\n';
    for (const auto &convergence : report.convergences) {
        out << "in force everywhere: " << convergence.change << ", version " << convergence.version
            << ": p50 " << convergence.quantile(0.5) << " ms, p99 " << convergence.quantile(0.99)
            << " ms, max " << convergence.quantile(1.0) << " ms on " << convergence.millis.size()
            << " nodes\n";
    }
    for (const auto &failure : report.failures) {
        out << "not as expected: " << failure << '\n';
    }
    std::size_t told = 0;
    for (const auto &violation : report.violations) {
        if (++told <= kMaxTold) {
            out << "violation of " << violation.promise << ": " << violation.text << '\n';
        }
    }
    if (report.expected > 0) {
        out << "violations expected without the mechanism: " << report.expected << '\n';
    }
    out << "demo: " << all.calls << " calls, " << all.answered << " answered, " << all.notRun
        << " not-run, " << all.unknown << " unknown, " << report.violations.size()
        << " violations\n";
}

} // namespace standin
