#pragma once

#include <optional>
#include <string>

namespace bench {

/*! @brief Prints figures, one a line, and remembers whether one was over its bound. */
class FigureList
{
public:
    /*! @brief A figure without a bound. */
    void tell(const std::string &name, double value, const std::string &unit);

    /*! @brief A figure that must not be above its bound. */
    void atMost(const std::string &name, double value, const std::string &unit, double bound);

    /*! @brief A figure that must not be below its bound. */
    void atLeast(const std::string &name, double value, const std::string &unit, double bound);

    /*! @return 1 when a figure was over its bound, else 0. */
    [[nodiscard]] int exitCode() const noexcept { return m_over ? 1 : 0; }

private:
    void print(const std::string &name, double value, const std::string &unit,
               const std::string &bound, const std::string &verdict);

    bool m_over = false;
};

} // namespace bench
