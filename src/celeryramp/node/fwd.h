#pragma once

/*! @file
 *  Forward declarations of the node module: services, request handling, settings. It is the only
 *  module that depends on all others.
 */

namespace celeryramp {

class AccountsDuty;
class CallHandler;
class ControlService;
class DocumentFetcher;
class DocumentTarget;
class GateWorkerPool;
class InstanceListHistory;
class Node;
class OperatorPort;
class PlatformReader;
struct NodeSettings;

} // namespace celeryramp
