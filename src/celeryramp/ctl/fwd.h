#pragma once

/*! @file
 *  Forward declarations of the ctl module: what the operator's tool does. It only reads.
 */

namespace celeryramp {

class OperatorClient;
struct CtlOutput;
struct LogLine;
class RequestTrace;

} // namespace celeryramp
