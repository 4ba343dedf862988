#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "ctl/ctl_output.h"

namespace celeryramp {

/*! @brief One log line of a node, split into its parts. */
struct LogLine
{
    std::string prefix; /*!< What stands before the time, such as the name of the node. */
    double time = 0.0; /*!< Unix seconds of the node's clock. */
    std::string duty;
    std::string event;
    std::string fields; /*!< `key=value` pairs as written. */

    /*! @return Value of a field without quotes, or empty. */
    [[nodiscard]] std::string field(std::string_view key) const;
};

/*! @return The parts of a line, or nothing when it is none of a node's event log. */
[[nodiscard]] std::optional<LogLine> parseLogLine(std::string_view text);

/*!
 * @brief Collects what the logs of any number of nodes say of one request, its nested calls
 * included.
 */
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId) : m_requestId{std::move(requestId)} { }

    /*! @brief Reads log lines up to the end. */
    void read(std::istream &in);

    /*! @return The line that ended the request first, then all in order of time; `Bad` when no log
     * names it. */
    [[nodiscard]] CtlOutput output() const;

private:
    [[nodiscard]] bool concerns(const LogLine &line) const;

    std::string m_requestId;
    std::vector<LogLine> m_lines;
};

} // namespace celeryramp
