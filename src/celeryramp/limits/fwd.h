#pragma once

/*! @file
 *  Forward declarations of the limits module: client account rates over the whole fleet.
 */

namespace celeryramp {

struct AccountShare;
class Minter;
class Wallet;

} // namespace celeryramp
