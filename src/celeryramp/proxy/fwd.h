#pragma once

/*! @file
 *  Forward declarations of the proxy module: rate limiting, load balancing, admission and retries
 *  of requests between callers and backend servers.
 */

namespace celeryramp::proxy {

class AnswerSizes;
class BodyScheduler;
class CallDispatcher;
struct CallFrame;
class HangDetector;
class HeaderAdapter;
class IdleReuse;
struct GateLoad;
class FleetLimiter;
class RequestRateLimiter;
class ServerGate;
class ServerPicker;
class ShutdownSchedule;
class SplitChooser;
class StopNotice;
class TransitDelay;
class UsageAggregator;
class ZoneReachability;

} // namespace celeryramp::proxy
