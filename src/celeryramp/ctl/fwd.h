#pragma once

/*! @file
 *  Forward declarations of the ctl module: what the operator's tool does. It only reads.
 */

namespace celeryramp {

class OperatorClient;
struct CtlOutput;

} // namespace celeryramp
