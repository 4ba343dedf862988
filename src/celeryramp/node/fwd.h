#pragma once

/*! @file
 *  Forward declarations of the node module: duties, the road of a call, settings. The only module
 *  that knows all others.
 */

namespace celeryramp {

class AccountsDuty;
class ControlDuty;
class DocumentFetcher;
class DocumentTarget;
class GateDuty;
class Node;
class OperatorPort;
class PlatformDuty;
class Road;
struct NodeSettings;

} // namespace celeryramp
