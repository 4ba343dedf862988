#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "config/manifest.h"
#include "core/result.h"
#include "core/time.h"

namespace celeryramp {

/*! @brief Why a read of the platform failed. */
enum class PlatformErrorCode {
    Unreachable, /*!< No answer. */
    Refused, /*!< An answer other than the asked-for. */
    Malformed /*!< An answer that cannot be read. */
};

/*! @brief Error of a platform read. */
struct PlatformError
{
    PlatformErrorCode code = PlatformErrorCode::Unreachable;
    std::string reason;
};

/*! @brief The platform's lagging list of instances. */
struct InstanceList
{
    std::uint64_t index = 0; /*!< Rises with each change. */
    std::set<std::string> leaving; /*!< Servers that are listed as leaving. */
};

/*! @brief Reads of the platform's configuration service. Nothing is ever written. */
class PlatformSource
{
public:
    virtual ~PlatformSource() = default;

    /*!
     * @brief Reads the manifest, or waits for one that differs.
     * @param known Version to wait past; 0 reads at once. @param wait How long the platform may
     * hold the answer back.
     * @return The manifest; nothing when none differed in time.
     */
    [[nodiscard]] virtual Result<std::optional<Manifest>, PlatformError>
    readManifest(std::uint64_t known, Millis wait) = 0;

    /*! @brief Reads one part by its hash. */
    [[nodiscard]] virtual Result<std::string, PlatformError> readPart(const std::string &hash) = 0;

    /*!
     * @brief Reads the list of instances, or waits for one that differs.
     * @param known Index to wait past; 0 reads at once. @param wait How long the platform may hold
     * the answer back.
     * @return The list; nothing when it did not change in time.
     */
    [[nodiscard]] virtual Result<std::optional<InstanceList>, PlatformError>
    readInstances(std::uint64_t known, Millis wait) = 0;
};

} // namespace celeryramp
