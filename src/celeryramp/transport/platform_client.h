#pragma once

#include <memory>

#include "core/address.h"
#include "observe/metrics_registry.h"
#include "transport/link_policy.h"
#include "transport/platform_source.h"

namespace celeryramp {

/*! @brief Reads the platform over HTTP; used by one thread. */
class PlatformClient : public PlatformSource
{
public:
    PlatformClient(const Address &address, const LinkPolicy &policy, MetricsRegistry &metrics);
    ~PlatformClient() override;
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    [[nodiscard]] Result<std::optional<Manifest>, PlatformError> readManifest(std::uint64_t known,
                                                                              Millis wait) override;
    [[nodiscard]] Result<std::string, PlatformError> readPart(const std::string &hash) override;
    [[nodiscard]] Result<std::optional<InstanceList>, PlatformError>
    readInstances(std::uint64_t known, Millis wait) override;

    /*! @brief Ends a read under way; safe to use from another thread. */
    void abort();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryramp
