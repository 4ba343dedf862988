/*! @file
 *  Goodput of the decisions of a gate under load: calls answered in target, as a share of what the
 *  server can end or of what is offered, whichever is less. No network is used.
 */

#include <algorithm>

#include "common/figure.h"
#include "support/gate_run.h"

namespace {

using celeryramp::Millis;
using celeryramp::test::GateLoadShape;

constexpr double kMinGoodput = 0.9;

struct Pattern
{
    const char *name;
    GateLoadShape shape;
};

[[nodiscard]] double goodput(const GateLoadShape &shape)
{
    const auto result = celeryramp::test::runGate(shape);
    return result.inTarget / std::min<double>(result.capacity, result.offered);
}

} // namespace

int main()
{
    bench::FigureList figures;
    const Pattern patterns[]{{"few slots, short work", {5, 60.0}},
                             {"many slots, long work", {12, 220.0, 1.0, Millis{600}, Millis{4000}}},
                             {"slow server of its service", {5, 120.0}}};
    for (const auto &[name, usual] : patterns) {
        for (const double load : {0.7, 1.0, 1.5, 2.0, 3.0}) {
            auto shape = usual;
            shape.load = load;
            figures.atLeast(std::string{"overload "} + name + ", load "
                                    + std::to_string(load).substr(0, 3),
                            goodput(shape), "share", kMinGoodput);
        }
    }
    return figures.exitCode();
}
