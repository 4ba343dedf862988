#pragma once

#include <string_view>

#include "config/config_document.h"
#include "config/config_error.h"
#include "config/snapshot.h"
#include "core/result.h"

namespace celeryramp {

/*!
 * @brief Reads a manifest from its published JSON text.
 * @return The manifest; `Syntax`, `WrongType`, `OutOfRange`, `UnknownMember` or `MissingPart`.
 */
[[nodiscard]] Result<Manifest, ConfigError> parseManifest(std::string_view text);

/*! @return The manifest as canonical JSON text. */
[[nodiscard]] std::string manifestText(const Manifest &manifest);

/*!
 * @brief Validates a document wholly: sizes, hashes, types, ranges and references.
 * @return The snapshot to put in force, or the first error found.
 */
[[nodiscard]] Result<SnapshotPtr, ConfigError> buildSnapshot(const ConfigDocument &document);

/*! @return A document whose manifest carries the right hashes of the given parts. */
[[nodiscard]] ConfigDocument makeDocument(std::uint64_t version,
                                          std::map<std::string, std::string> parts);

} // namespace celeryramp
