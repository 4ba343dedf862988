#pragma once

/*! @file
 *  Forward declarations of the directory module: the published configuration and servers, and the
 *  replica of them on each node.
 */

namespace celeryramp::directory {

struct BackendServer;
struct ClientAccount;
struct Configuration;
struct Directory;
struct InputLimits;
class ItemDecoder;
struct FreshnessSchedule;
struct ReaderPosition;
class ItemSink;
class ItemSource;
class Replica;
class RevisionLag;
struct Route;
class RoutingTable;
struct Service;
class SourceOutage;

} // namespace celeryramp::directory
