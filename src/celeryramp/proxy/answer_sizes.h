#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace celeryramp::proxy {

/*!
 * @brief Limits the request and answer bytes that a call may transfer between zones in order to
 * meet its target. The limit falls with decreasing priority.
 * @param priority Priority of the route; 0 is the most urgent.
 * @return Limit in bytes.
 */
[[nodiscard]] std::size_t spillAllowance(int priority) noexcept;

/*!
 * @return True if a call may use other zones to meet its target: its bytes are within the
 * allowance, or the answer is long and the links of the local servers may be full.
 * @param areLinksKnown The rates of links are known, and their waits are reported.
 */
[[nodiscard]] bool maySpill(std::size_t requestBytes, std::size_t answerBytes, int priority,
                            bool areLinksKnown) noexcept;

/*! @brief Keeps a moving average of the answer size of each route. */
class AnswerSizes
{
public:
    /*! @brief Records the body size of an answer to a request of this route. */
    void onAnswer(const std::string &route, std::size_t bytes);
    /*! @return Average answer size in bytes; 0 before the first answer. */
    [[nodiscard]] std::size_t expected(const std::string &route) const;

private:
    std::map<std::string, double> m_meanBytes;
};

} // namespace celeryramp::proxy
