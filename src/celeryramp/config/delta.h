#pragma once

#include <optional>
#include <string>

#include "config/config_document.h"

namespace celeryramp {

/*!
 * @brief Encodes the difference between two documents, with a JSON Patch (RFC 6902) per changed
 * part. A part is sent in full if its target text is not canonical JSON, because a patch could
 * not reproduce its exact bytes, or if either text is not valid JSON.
 * @return CBOR bytes for `applyDelta`.
 */
[[nodiscard]] std::string makeDelta(const ConfigDocument &base, const ConfigDocument &target);

/*!
 * @brief Applies a delta to its base and checks every part against the hash in the manifest.
 * @return The target, or nothing if the delta is malformed or was made for another base.
 */
[[nodiscard]] std::optional<ConfigDocument> applyDelta(const ConfigDocument &base,
                                                       const std::string &delta);

/*! @return The complete document as CBOR bytes. */
[[nodiscard]] std::string packDocument(const ConfigDocument &document);

/*! @return The document, or nothing if the bytes are malformed. Hashes are not checked. */
[[nodiscard]] std::optional<ConfigDocument> unpackDocument(const std::string &bytes);

} // namespace celeryramp
