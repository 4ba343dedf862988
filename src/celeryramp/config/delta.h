#pragma once

#include <optional>
#include <string>

#include "config/config_document.h"

namespace celeryramp {

/*!
 * @brief Difference between two documents as JSON Patch (RFC 6902) text per part.
 * A part whose bytes are not canonical JSON is carried whole.
 * @return CBOR bytes for `applyDelta`.
 */
[[nodiscard]] std::string makeDelta(const ConfigDocument &base, const ConfigDocument &target);

/*!
 * @brief Rebuilds the target from the base; each rebuilt part is checked against its hash.
 * @return The target, or nothing when the delta is malformed or does not fit the base.
 */
[[nodiscard]] std::optional<ConfigDocument> applyDelta(const ConfigDocument &base,
                                                       const std::string &delta);

/*! @return A whole document as CBOR bytes. */
[[nodiscard]] std::string packDocument(const ConfigDocument &document);

/*! @return The document, or nothing when the bytes are malformed. Hashes are not checked here. */
[[nodiscard]] std::optional<ConfigDocument> unpackDocument(const std::string &bytes);

} // namespace celeryramp
