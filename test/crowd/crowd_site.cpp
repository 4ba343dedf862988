#include "crowd/crowd_site.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "core/boot_clock.h"

namespace celeryramp::test {

namespace {

using Json = nlohmann::json;
using boost::asio::ip::tcp;

constexpr std::uint16_t kCallerPort = 9300;
constexpr std::uint16_t kLinkPort = 9301;
constexpr std::uint16_t kReadinessPort = 9302;
constexpr std::uint16_t kBackendPort = 9303;
constexpr std::uint16_t kStorePort = 9304;
constexpr std::size_t kKeptBytes = 1024;

std::string host(int index)
{
    return "127.19.1." + std::to_string(index + 1);
}

std::string quoted(int index, std::uint16_t port)
{
    return "\"" + host(index) + ":" + std::to_string(port) + "\"\n";
}

std::string nodeName(int index)
{
    return "node-" + std::to_string(index);
}

} // namespace

void CrowdCaller::start(const Address &address, std::size_t pieces,
                        std::function<std::string(std::size_t)> piece)
{
    m_pieces = pieces;
    m_piece = std::move(piece);
    const tcp::endpoint endpoint{boost::asio::ip::make_address(address.host), address.port};
    m_socket.async_connect(endpoint,
                           [self = shared_from_this()](const boost::system::error_code &ec) {
                               self->m_isEnded = static_cast<bool>(ec);
                               if (!ec) {
                                   self->read();
                                   self->write();
                               }
                           });
}

void CrowdCaller::write()
{
    if (m_isEnded || m_next >= m_pieces) {
        ++m_next;
        return;
    }
    m_output = m_piece(m_next++);
    boost::asio::async_write(
            m_socket, boost::asio::buffer(m_output),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                self->m_sentBytes += n;
                self->m_isEnded = self->m_isEnded || ec;
                self->write();
            });
}

void CrowdCaller::read()
{
    m_socket.async_read_some(
            boost::asio::buffer(m_input),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                const auto room = kKeptBytes - std::min(kKeptBytes, self->m_received.size());
                self->m_received.append(self->m_input.data(), std::min(n, room));
                if (ec) {
                    self->m_isEnded = true;
                    return;
                }
                self->read();
            });
}

CrowdSite::CrowdSite()
    : m_directory{std::filesystem::temp_directory_path() / ("crowd-" + std::to_string(getpid()))},
      m_store{m_context, Address{host(0), kStorePort}}
{
    std::filesystem::create_directories(m_directory);
    const auto route = [](const char *name, const char *prefix, const char *kind) {
        return Json{{"Name", name},          {"Host", "crowd.example"},
                    {"Prefix", prefix},      {"Service", "stock"},
                    {"Kind", kind},          {"Timeout", "5s"},
                    {"TargetLatency", "2s"}, {"MaxAttempts", 2}};
    };
    Json configuration{{"Version", 2}};
    configuration["Routes"]
            = {route("read", "/r/", "idempotent"), route("write", "/w/", "non_idempotent")};
    configuration["Services"] = {{{"Name", "stock"}, {"HealthPath", "/health"}},
                                 {{"Name", "files"}, {"HealthPath", "/health"}}};
    configuration["Limits"] = {{"MaxHeaderBytes", 16'384},
                               {"MaxBodyBytes", kBodyLimit},
                               {"HeaderTimeout", "10s"},
                               {"IdleTimeout", "30s"}};
    m_store.put("op/config", configuration.dump());
    startNode(0, "files");
    startNode(1, "stock");
}

CrowdSite::~CrowdSite()
{
    m_processes.killAll();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

void CrowdSite::startNode(int index, const char *service)
{
    const auto id = "s" + std::to_string(index);
    m_backends.push_back(std::make_unique<standin::soak::Backend>(
            m_context, Address{host(index), kBackendPort}, "a", 1,
            [](const standin::soak::Execution &) {}));
    m_backends.back()->setId(id);
    m_store.put(
            "servers/" + id,
            Json{{"Address", host(index) + ":" + std::to_string(kBackendPort)},
                 {"Info", {{"Service", service}, {"Zone", "a"}, {"Version", "v1"}, {"Slots", 12}}},
                 {"Status", {{"State", "ready"}, {"Sequence", 1}, {"ColdRemaining", "0ms"}}},
                 {"born", 1}}
                    .dump());
    const auto path = m_directory + "/" + nodeName(index) + ".toml";
    std::ofstream{path} << "name = \"" + nodeName(index) + "\"\nzone = \"a\"\nservice = \""
                    + service + "\"\ncallers = " + quoted(index, kCallerPort) + "links = "
                    + quoted(index, kLinkPort) + "readiness = " + quoted(index, kReadinessPort)
                    + "backend = " + quoted(index, kBackendPort)
                    + "source = " + quoted(0, kStorePort)
                    + "memory_mb = " + std::to_string(kMemoryMegabytes) + "\n";
    m_processes.start(nodeName(index), {CELERYRAMP_NODE, "--settings", path},
                      m_directory + "/" + nodeName(index) + ".log");
}

void CrowdSite::run(Millis time)
{
    m_context.restart();
    m_context.run_for(time);
}

void CrowdSite::open(std::size_t callers, std::size_t pieces,
                     const std::function<std::string(std::size_t)> &piece, std::size_t whole)
{
    for (std::size_t i = 0; i < callers; ++i) {
        m_callers.push_back(std::make_shared<CrowdCaller>(m_context));
        // The last piece ends the request; those that stop short never send it.
        m_callers.back()->start({host(0), kCallerPort}, i < whole ? pieces : pieces - 1, piece);
    }
}

std::size_t CrowdSite::sentBytes() const
{
    std::size_t sum = 0;
    for (const auto &caller : m_callers) {
        sum += caller->sentBytes();
    }
    return sum;
}

void CrowdSite::runUntilSettled()
{
    constexpr Millis kStep{500};
    constexpr int kStepsWithoutProgress = 4;
    std::size_t sent = 0;
    for (int still = 0; still < kStepsWithoutProgress;) {
        run(kStep);
        const bool isDone = std::all_of(m_callers.begin(), m_callers.end(),
                                        [](const auto &caller) { return caller->isDone(); });
        still = isDone || sentBytes() == sent ? still + 1 : 0;
        sent = sentBytes();
    }
}

bool CrowdSite::isServed(std::size_t bodyBytes)
{
    constexpr int kTries = 40;
    constexpr Millis kBetween{250};
    for (int i = 0; i < kTries; ++i) {
        const auto caller = std::make_shared<CrowdCaller>(m_context);
        const auto head = "POST /r/100 HTTP/1.1\r\nHost: crowd.example\r\nAttempt-Id: q"
                + std::to_string(m_nextRequest++) + "\r\nDeadline-Ms: 5000\r\nContent-Length: "
                + std::to_string(bodyBytes) + "\r\n\r\n";
        caller->start({host(0), kCallerPort}, 1,
                      [&](std::size_t) { return head + std::string(bodyBytes, 'o'); });
        for (int step = 0; step < 20 && caller->received().empty(); ++step) {
            run(kBetween);
        }
        if (caller->received().find("HTTP/1.1 200") == 0) {
            return true;
        }
        run(kBetween);
    }
    return false;
}

bool CrowdSite::areAllRunning()
{
    return m_processes.isRunning(nodeName(0)) && m_processes.isRunning(nodeName(1));
}

std::size_t CrowdSite::peakMemory() const
{
    constexpr std::size_t kBytesPerKilobyte = 1024;
    std::size_t most = 0;
    for (const int index : {0, 1}) {
        const auto pid = m_processes.id(nodeName(index));
        std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
        for (std::string word; status >> word;) {
            if (std::size_t n = 0; word == "VmHWM:" && status >> n) {
                most = std::max(most, n * kBytesPerKilobyte);
            }
        }
    }
    return most;
}

std::size_t CrowdSite::descriptors() const
{
    std::size_t most = 0;
    for (const int index : {0, 1}) {
        const auto pid = m_processes.id(nodeName(index));
        std::error_code ec;
        const std::filesystem::directory_iterator files{"/proc/" + std::to_string(pid) + "/fd", ec};
        if (!ec) {
            most = std::max(most,
                            static_cast<std::size_t>(std::distance(begin(files), end(files))));
        }
    }
    return most;
}

} // namespace celeryramp::test
