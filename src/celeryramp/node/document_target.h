#pragma once

#include "config/config_document.h"
#include "config/manifest.h"
#include "core/time.h"

namespace celeryramp {

/*! @brief Receives documents that were read from the platform. Thread-safe. */
class DocumentTarget
{
public:
    virtual ~DocumentTarget() = default;

    /*! @return True while this version is newer than the one in force and was not rejected. */
    [[nodiscard]] virtual bool isWanted(const ConfigStamp &stamp) const = 0;
    /*! @return The document in force. */
    [[nodiscard]] virtual ConfigDocument document() const = 0;
    /*!
     * @brief Called when a document was read completely.
     * @param readAt When its manifest was read, which may be long before its last part.
     */
    virtual void onDocument(ConfigDocument document, TimePoint readAt) = 0;
};

} // namespace celeryramp
