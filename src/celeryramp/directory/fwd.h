#pragma once

/*! @file
 *  Forward declarations of the directory module: published configuration and servers, and the
 *  replica of them that each node keeps.
 */

namespace celeryramp::directory {

struct BackendServer;
struct ClientAccount;
struct Configuration;
struct Directory;
struct InputLimits;
class ItemDecoder;
struct ReaderPosition;
class ItemSink;
class ItemSource;
class Replica;
struct Route;
class RoutingTable;
struct Service;

} // namespace celeryramp::directory
