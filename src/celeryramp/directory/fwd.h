#pragma once

#include <cstdint>

/*! @file
 *  Forward declarations of the directory module: the published configuration and servers, and the
 *  replica of them on each node.
 */

namespace celeryramp::directory {

class AccountList;
struct BackendServer;
struct ClientAccount;
struct Configuration;
struct Directory;
struct InputLimits;
class ItemDecoder;
enum class DelayedRead : std::uint8_t;
struct FreshnessSchedule;
struct ReaderPosition;
struct ReadProgress;
class ItemSink;
class ItemSource;
struct KeyCheck;
enum class KeyVerdict : std::uint8_t;
class Replica;
class RevisionLag;
struct Route;
class RoutingTable;
struct Service;
class SourceOutage;
struct SourcePosition;

} // namespace celeryramp::directory
