#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace celeryramp::proxy {

/*!
 * @brief Bytes that a call may take over the link between zones to be answered in time rather than
 * late. Urgent calls may take more.
 * @param priority Of the route; 0 is the most urgent.
 */
[[nodiscard]] std::size_t spillAllowance(int priority) noexcept;

/*! @brief Smoothed size of the answers of each route. */
class AnswerSizes
{
public:
    /*! @brief A server answered a request of this route. */
    void onAnswer(const std::string &route, std::size_t bytes);
    /*! @return Bytes to be expected; 0 before the first answer. */
    [[nodiscard]] std::size_t expected(const std::string &route) const;

private:
    std::map<std::string, double> m_sizes;
};

} // namespace celeryramp::proxy
