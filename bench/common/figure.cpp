#include "common/figure.h"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace bench {

namespace {

std::string plain(double value)
{
    std::ostringstream out;
    out << std::setprecision(4) << value;
    return out.str();
}

} // namespace

void FigureList::tell(const std::string &name, double value, const std::string &unit)
{
    print(name, value, unit, "-", "ok");
}

void FigureList::atMost(const std::string &name, double value, const std::string &unit,
                        double bound)
{
    const bool over = !(value <= bound);
    m_over = m_over || over;
    print(name, value, unit, "<=" + plain(bound), over ? "over" : "ok");
}

void FigureList::atLeast(const std::string &name, double value, const std::string &unit,
                         double bound)
{
    const bool over = !(value >= bound);
    m_over = m_over || over;
    print(name, value, unit, ">=" + plain(bound), over ? "over" : "ok");
}

void FigureList::print(const std::string &name, double value, const std::string &unit,
                       const std::string &bound, const std::string &verdict)
{
    std::cout << std::left << std::setw(58) << name << std::right << std::setw(12) << plain(value)
              << ' ' << std::left << std::setw(10) << unit << std::setw(12) << bound << verdict
              << std::endl;
}

} // namespace bench
