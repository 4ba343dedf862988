#pragma once

#include <string_view>

#include "config/config_document.h"
#include "config/config_error.h"
#include "config/snapshot.h"
#include "core/result.h"

namespace celeryramp {

/*!
 * @brief Parses a manifest from its published JSON text.
 * @return The manifest, or a `Syntax`, `WrongType`, `OutOfRange` or `UnknownMember` error.
 */
[[nodiscard]] Result<Manifest, ConfigError> parseManifest(std::string_view text);

/*! @return The manifest as canonical JSON text. */
[[nodiscard]] std::string manifestText(const Manifest &manifest);

/*!
 * @brief Validates the sizes, hashes, types, ranges and references of a document.
 * @return The snapshot of the document, or the first error found.
 */
[[nodiscard]] Result<SnapshotPtr, ConfigError> buildSnapshot(const ConfigDocument &document);

/*! @return A document of the given parts, with a manifest that holds their hashes. */
[[nodiscard]] ConfigDocument makeDocument(std::uint64_t version,
                                          std::map<std::string, std::string> parts);

} // namespace celeryramp
