#pragma once

/*! @file
 *  Forward declarations of the proxy module: decisions about requests on their way from a caller
 *  to a backend server.
 */

namespace celeryramp::proxy {

class AnswerSizes;
class CallCourse;
struct CallFrame;
class Dialect;
struct GateLoad;
class FleetLimiter;
class ServerGate;
class ServerPicker;
class SplitChooser;
class UsageLedger;

} // namespace celeryramp::proxy
