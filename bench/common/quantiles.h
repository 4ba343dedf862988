#pragma once

#include <vector>

namespace bench {

/*! @return The quantile of the values; 0 when there are none. The values are sorted by this. */
[[nodiscard]] double quantile(std::vector<double> &values, double q);

/*! @brief A straight line through points, by least squares. */
struct Line
{
    double slope = 0.0;
    double offset = 0.0;
    double residual = 0.0; /*!< Root of the mean squared distance. */
};

/*! @return The line through the points; needs two or more. */
[[nodiscard]] Line fitLine(const std::vector<double> &x, const std::vector<double> &y);

} // namespace bench
