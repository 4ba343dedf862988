#pragma once

#include "directory/item_decoder.h"

namespace celeryramp::test {

/*!
 * @brief Decodes items in a plain text format for tests.
 *
 * `configuration` holds a version, `zone/Z` marks zone Z as evacuated, and `server/ID` holds
 * "id service zone address slots state cold started sequence", cold and started in milliseconds;
 * the sequence may be left out.
 */
class TextDecoder final : public directory::ItemDecoder
{
public:
    [[nodiscard]] Result<directory::DecodedItem, directory::DirectoryError>
    decode(std::string_view key, std::string_view value) const override;

    /*! Routes, services and accounts that each version contains. */
    directory::Configuration base;
};

} // namespace celeryramp::test
