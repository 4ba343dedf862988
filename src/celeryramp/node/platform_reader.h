#pragma once

#include <atomic>
#include <thread>

#include "core/random.h"
#include "core/waker.h"
#include "node/control_service.h"
#include "node/document_fetcher.h"
#include "node/instance_list_history.h"
#include "node/node_settings.h"
#include "transport/platform_client.h"

namespace celeryramp {

/*!
 * @brief Reads configuration and the instance list from the platform.
 *
 * A reader watches for changes. Other nodes read only at their start and after 15 s without a
 * confirmation. Their reads are spread by full jitter, and the platform's load does not grow with
 * the fleet.
 */
class PlatformReader
{
public:
    PlatformReader(const NodeSettings &settings, ControlService &control, const LinkPolicy &policy,
                   MetricsRegistry &metrics, std::uint64_t seed);
    ~PlatformReader();
    PlatformReader(const PlatformReader &) = delete;
    PlatformReader &operator=(const PlatformReader &) = delete;

    void start();
    void stop();

    /*! @brief Sets whether this node is one of its zone's readers. */
    void setReader(bool isReader);

    /*! @return True when the first read has ended, successfully or not, or was not needed. */
    [[nodiscard]] bool isFirstReadDone() const noexcept { return m_firstReadDone; }

private:
    void loop();
    void awaitStart();
    void watchOnce();
    /*! @return False if the platform held the answer back and its version is still the known one.
     */
    bool readOnce(std::uint64_t known, Millis wait);
    void awaitDecision(const ConfigStamp &stamp);
    void readInstances();
    void backOff();
    [[nodiscard]] Millis jitter(Millis maxPause);

    const NodeSettings &m_settings;
    ControlService &m_control;
    PlatformClient m_client;
    PlatformClient m_parts;
    PlatformClient m_instances;
    DocumentFetcher m_fetcher;
    RandomEngine m_random;
    Millis m_backOff;
    std::uint64_t m_seenVersion
            = 0; /*!< Version of the last manifest read, which may have fallen. */
    InstanceListHistory m_listHistory;
    std::atomic<bool> m_reader{false};
    std::atomic<bool> m_firstReadDone{false};
    std::atomic<bool> m_stopping{false};
    Waker m_watchWaker; /*!< Woken when this node becomes or ceases to be a reader. */
    Waker m_instanceWaker;
    std::thread m_thread;
    std::thread m_instanceThread;
};

} // namespace celeryramp
