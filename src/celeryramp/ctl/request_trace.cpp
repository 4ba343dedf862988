#include "ctl/request_trace.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <istream>
#include <sstream>

namespace celeryramp {

namespace internal {

constexpr std::array<std::string_view, 4> kLevels{"debug", "info", "warn", "error"};
/*! Events that end a request at the node that its caller used. */
constexpr std::array<std::string_view, 3> kEnds{"request-refused", "request-end",
                                                "request-cancelled"};

[[nodiscard]] bool isLevel(const std::string &word)
{
    return std::find(kLevels.begin(), kLevels.end(), word) != kLevels.end();
}

[[nodiscard]] bool isEnd(const LogLine &line)
{
    return std::find(kEnds.begin(), kEnds.end(), line.event) != kEnds.end();
}

[[nodiscard]] std::string text(const LogLine &line)
{
    std::ostringstream out;
    out.setf(std::ios::fixed);
    out.precision(3);
    out << line.prefix << line.time << ' ' << line.duty << ' ' << line.event << ' ' << line.fields
        << '\n';
    return out.str();
}

} // namespace internal

std::string LogLine::field(std::string_view key) const
{
    const auto wanted = std::string{key} + "=";
    std::size_t place = 0;
    while (place < fields.size()) {
        const bool isWanted = fields.compare(place, wanted.size(), wanted) == 0;
        auto equals = fields.find('=', place);
        if (equals == std::string::npos) {
            break;
        }
        const bool isQuoted = equals + 1 < fields.size() && fields[equals + 1] == '"';
        const auto begin = equals + (isQuoted ? 2 : 1);
        const auto end = std::min(fields.size(), fields.find(isQuoted ? '"' : ' ', begin));
        if (isWanted) {
            return fields.substr(begin, end - begin);
        }
        place = end + (isQuoted ? 2 : 1);
    }
    return {};
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    std::istringstream in{std::string{text}};
    std::vector<std::string> words;
    std::string word;
    while (words.size() < 6 && in >> word) {
        words.push_back(word);
        const auto n = words.size();
        if (n < 2 || !internal::isLevel(word)) {
            continue;
        }
        LogLine line;
        line.time = std::strtod(words[n - 2].c_str(), nullptr);
        for (std::size_t i = 0; i + 2 < n; ++i) {
            line.prefix += words[i] + ' ';
        }
        if (!(in >> line.duty >> line.event)) {
            return std::nullopt;
        }
        std::getline(in >> std::ws, line.fields);
        return line;
    }
    return std::nullopt;
}

bool RequestTrace::concerns(const LogLine &line) const
{
    const auto id = line.field("request");
    return id == m_requestId || id.rfind(m_requestId + ".", 0) == 0;
}

void RequestTrace::read(std::istream &in)
{
    std::string text;
    while (std::getline(in, text)) {
        if (text.find(m_requestId) == std::string::npos) {
            continue;
        }
        if (auto line = parseLogLine(text); line && concerns(*line)) {
            m_lines.push_back(std::move(*line));
        }
    }
}

CtlOutput RequestTrace::output() const
{
    if (m_lines.empty()) {
        return {CtlExit::Bad,
                {},
                "celeryrampctl: no line of these logs names request " + m_requestId
                        + "; one in 32 requests that succeed is logged\n"};
    }
    auto lines = m_lines;
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    std::string out;
    const auto end = std::find_if(lines.begin(), lines.end(), [this](const LogLine &line) {
        return internal::isEnd(line) && line.field("request") == m_requestId;
    });
    out += end == lines.end() ? "not ended in these logs\n" : "ended by " + internal::text(*end);
    out += "in order:\n";
    for (const auto &line : lines) {
        out += "  " + internal::text(line);
    }
    return {CtlExit::Good, out, {}};
}

} // namespace celeryramp
