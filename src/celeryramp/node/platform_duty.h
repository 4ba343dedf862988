#pragma once

#include <atomic>
#include <thread>

#include "core/random.h"
#include "core/waker.h"
#include "node/control_duty.h"
#include "node/document_fetcher.h"
#include "node/node_settings.h"
#include "transport/platform_client.h"

namespace celeryramp {

/*!
 * @brief The duty that reads the platform.
 *
 * A reader waits for changes; other nodes read only at their start and when they have heard no
 * confirmation for long, spread by full jitter, so that the platform's load does not grow with the
 * fleet.
 */
class PlatformDuty
{
public:
    PlatformDuty(const NodeSettings &settings, ControlDuty &control, const LinkPolicy &policy,
                 MetricsRegistry &metrics, std::uint64_t seed);
    ~PlatformDuty();
    PlatformDuty(const PlatformDuty &) = delete;
    PlatformDuty &operator=(const PlatformDuty &) = delete;

    void start();
    void stop();

    /*! @brief Whether this node is one of its zone's readers. */
    void setReader(bool isReader);

    /*! @return True when the first read ended, well or not. */
    [[nodiscard]] bool hasAsked() const noexcept { return m_asked; }

private:
    void loop();
    void awaitStart();
    void watchOnce();
    void readOnce(std::uint64_t known, Millis wait);
    void awaitDecision(const ConfigStamp &stamp);
    void readInstances();
    void backOff();
    [[nodiscard]] Millis jitter(Millis most);

    const NodeSettings &m_settings;
    ControlDuty &m_control;
    PlatformClient m_client;
    PlatformClient m_parts;
    PlatformClient m_instances;
    DocumentFetcher m_fetcher;
    RandomEngine m_random;
    Millis m_backOff;
    std::uint64_t m_seenVersion = 0; /*!< Newest whose manifest was read. */
    std::uint64_t m_instanceIndex = 0; /*!< Of the list that was read last. */
    std::atomic<bool> m_reader{false};
    std::atomic<bool> m_asked{false};
    std::atomic<bool> m_stopping{false};
    Waker m_watchWaker; /*!< Woken when this node becomes a reader or none. */
    Waker m_instanceWaker;
    std::thread m_thread;
    std::thread m_instanceThread;
};

} // namespace celeryramp
