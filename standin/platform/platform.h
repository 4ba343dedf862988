#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "transport/http_listener.h"

namespace standin {

/*!
 * @brief Stand-in of the platform's configuration service: versioned read, long-poll watch, a
 * lagging list of instances, and faults. Readers use `/v1`; operators and tests use `/admin`.
 */
class Platform
{
public:
    /*! @brief Answers one request; watches block the calling thread. */
    [[nodiscard]] celeryramp::HttpResponse serve(const celeryramp::HttpRequest &request);

private:
    struct Faults
    {
        bool outage = false; /*!< Every read fails. */
        bool stale = false; /*!< The manifest at the start of the fault is served. */
        bool crossed = false; /*!< Every other read gets the manifest before the last. */
        celeryramp::Millis slow{0}; /*!< Each answer is late by this. */
    };

    [[nodiscard]] celeryramp::HttpResponse read(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse manifest(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse part(const std::string &hash);
    [[nodiscard]] celeryramp::HttpResponse instances(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse admin(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse publish(const std::string &body);
    [[nodiscard]] celeryramp::HttpResponse setFaults(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse setInstance(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse restore(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse stats();
    void countRead();
    [[nodiscard]] const std::string &servedManifest();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::string> m_parts; /*!< By hash. */
    std::map<std::string, std::string> m_latest; /*!< By part name, last published. */
    std::deque<std::string> m_manifests; /*!< Published, oldest first. */
    std::string m_staleManifest;
    std::uint64_t m_version = 0;
    std::map<std::string, std::string> m_instances;
    std::deque<std::map<std::string, std::string>> m_formerInstances; /*!< Oldest first. */
    std::uint64_t m_instanceIndex = 1;
    Faults m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_waiting = 0;
    std::uint64_t m_refused = 0;
    std::int64_t m_second = 0;
    std::uint64_t m_readsThisSecond = 0;
    std::uint64_t m_mostPerSecond = 0;
};

} // namespace standin
