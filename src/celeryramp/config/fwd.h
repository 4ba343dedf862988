#pragma once

/*! @file
 *  Forward declarations of the config module, which models, validates and accepts published
 *  configurations.
 */

namespace celeryramp {

struct AvailabilityZone;
struct BackendServer;
struct ClientAccount;
struct ConfigDocument;
struct ConfigError;
struct Manifest;
struct Route;
struct Service;
struct WorkClass;
class Acceptance;
class Snapshot;

} // namespace celeryramp
