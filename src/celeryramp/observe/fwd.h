#pragma once

/*! @file
 *  Forward declarations of the observe module: metrics, structured logs, process figures.
 */

namespace celeryramp {

class Counter;
class LatencySummary;
class MetricsRegistry;
struct ProcessUsage;

} // namespace celeryramp
