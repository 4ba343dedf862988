#include "common/quantiles.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bench {

double quantile(std::vector<double> &values, double q)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(std::lround(q * double(values.size() - 1)))];
}

Line fitLine(const std::vector<double> &x, const std::vector<double> &y)
{
    const auto n = double(x.size());
    const auto meanX = std::accumulate(x.begin(), x.end(), 0.0) / n;
    const auto meanY = std::accumulate(y.begin(), y.end(), 0.0) / n;
    double sxx = 0.0;
    double sxy = 0.0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sxx += (x[i] - meanX) * (x[i] - meanX);
        sxy += (x[i] - meanX) * (y[i] - meanY);
    }
    Line line;
    line.slope = sxx > 0.0 ? sxy / sxx : 0.0;
    line.offset = meanY - line.slope * meanX;
    double squares = 0.0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        const auto distance = y[i] - line.offset - line.slope * x[i];
        squares += distance * distance;
    }
    line.residual = std::sqrt(squares / n);
    return line;
}

} // namespace bench
