#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/time.h"
#include "lab/process_table.h"
#include "soak/backend.h"
#include "soak/store.h"

namespace celeryramp::test {

/*! @brief A caller that sends what it was told as far as the node takes it, and stays open. */
class CrowdCaller : public std::enable_shared_from_this<CrowdCaller>
{
public:
    explicit CrowdCaller(boost::asio::io_context &context) : m_socket{context} { }

    /*! @param pieces Sent one after the other; a piece is made when its turn comes. */
    void start(const Address &address, std::size_t pieces,
               std::function<std::string(std::size_t)> piece);

    [[nodiscard]] std::size_t sentBytes() const noexcept { return m_sentBytes; }
    [[nodiscard]] bool isDone() const noexcept { return m_isEnded || m_next > m_pieces; }
    [[nodiscard]] const std::string &received() const noexcept { return m_received; }

private:
    void write();
    void read();

    boost::asio::ip::tcp::socket m_socket;
    std::function<std::string(std::size_t)> m_piece;
    std::size_t m_pieces = 0;
    std::size_t m_next = 0;
    std::size_t m_sentBytes = 0;
    std::string m_output;
    std::string m_received; /*!< At most its first kilobyte. */
    std::array<char, 4096> m_input{};
    bool m_isEnded = false;
};

/*!
 * @brief Two `celeryramp-node` processes with their servers and a store on loopback addresses. All
 * requests cross both nodes: callers use the first one, and the only server of their service is
 * beside the second one.
 */
class CrowdSite
{
public:
    /*! Limits of the test: what a body may have, and the memory limit of each process. */
    static constexpr std::size_t kBodyLimit = 4'000'000;
    static constexpr int kMemoryMegabytes = 64;

    CrowdSite();
    ~CrowdSite();

    /*! @brief Opens callers that all send the same, some of them only a part of it. */
    void open(std::size_t callers, std::size_t pieces,
              const std::function<std::string(std::size_t)> &piece, std::size_t whole = 0);
    /*! @brief Runs until each caller has sent its part, was refused or makes no progress. */
    void runUntilSettled();
    /*! @return True once a request of this body length is answered with 200. Refusals that say that
     * it has not run are repeated as callers do. */
    [[nodiscard]] bool isServed(std::size_t bodyBytes);

    [[nodiscard]] bool areAllRunning();
    /*! @return Largest resident memory that any of the processes has had, in bytes. */
    [[nodiscard]] std::size_t peakMemory() const;
    /*! @return Largest number of open descriptors of a process. */
    [[nodiscard]] std::size_t descriptors() const;

private:
    void startNode(int index, const char *service);
    void run(Millis time);
    [[nodiscard]] std::size_t sentBytes() const;

    boost::asio::io_context m_context;
    std::string m_directory;
    standin::soak::Store m_store;
    std::vector<std::unique_ptr<standin::soak::Backend>> m_backends;
    standin::ProcessTable m_processes;
    std::vector<std::shared_ptr<CrowdCaller>> m_callers;
    int m_nextRequest = 1;
};

} // namespace celeryramp::test
