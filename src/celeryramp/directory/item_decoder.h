#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/result.h"
#include "directory/backend_server.h"
#include "directory/configuration.h"
#include "directory/directory_error.h"

namespace celeryramp::directory {

/*! @brief An availability zone whose servers must not receive requests. */
struct EvacuatedZone
{
    std::string zone;
};

/*! @brief An item of a kind that this program does not use. */
struct UnknownItem
{
};

/*! @brief Decoded content of one published item. */
using DecodedItem = std::variant<UnknownItem, Configuration, BackendServer, EvacuatedZone>;

/*! @brief Decodes the items that a platform publishes. */
class ItemDecoder
{
public:
    ItemDecoder() = default;
    ItemDecoder(const ItemDecoder &) = delete;
    ItemDecoder &operator=(const ItemDecoder &) = delete;
    virtual ~ItemDecoder() = default;

    /*! @return The decoded item, or why it cannot be decoded. */
    [[nodiscard]] virtual Result<DecodedItem, DirectoryError>
    decode(std::string_view key, std::string_view value) const = 0;
};

} // namespace celeryramp::directory
