#pragma once

/*! @file
 *  Forward declarations of the limits module, which enforces the rates of client accounts across
 *  all nodes.
 */

namespace celeryramp {

struct AccountShare;
class Minter;
class TokenCache;

} // namespace celeryramp
