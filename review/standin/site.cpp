#include "site.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 65'536;
/*! Pause before a process that has ended is started again. */
constexpr Millis kRestartPause{300};
/*! Interval at which the memory of processes is looked at. */
constexpr Millis kWatchInterval{2};
constexpr int kKilobytesPerMb = 1024;
constexpr Millis kStartTime{10'000};
constexpr Millis kIdleTime{10'000}; /*!< After which a server closes a connection. */
constexpr int kSlots = 12;
/*! As in the deploy file. */
constexpr const char *kProgram = "/target/bin/celeryramp-node";
/*! Unix time in milliseconds at which the first servers start. */
constexpr std::int64_t kFirstStart = 1'700'000'000'000;

sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

std::string base64(const std::string &bytes)
{
    constexpr const char *kDigits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            const auto byte = i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U;
            group = group << 8U | byte;
        }
        for (std::size_t j = 0; j < 4; ++j) {
            const auto digit = kDigits[group >> (18 - 6 * j) & 63U];
            text.push_back(i + j <= bytes.size() ? digit : '=');
        }
    }
    return text;
}

std::int64_t numberParameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::atoll(target.c_str() + at + name.size() + 1);
}

std::string answerText(const std::string &status, const std::string &headers,
                       const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool canListen(const std::string &host, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(host, port);
    const bool isFree = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    close(fd);
    return isFree;
}

/*! @return The largest resident memory that a process has had, in MB; 0 if it has ended. */
int largestMemoryMb(pid_t pid)
{
    std::ifstream file{"/proc/" + std::to_string(pid) + "/status"};
    std::string text;
    while (std::getline(file, text)) {
        if (text.rfind("VmHWM:", 0) == 0) {
            return std::atoi(text.c_str() + text.find_first_of("0123456789")) / kKilobytesPerMb;
        }
    }
    return 0;
}

std::string target(const Message &request)
{
    const auto begin = request.firstLine.find(' ') + 1;
    return request.firstLine.substr(begin, request.firstLine.find(' ', begin) - begin);
}

} // namespace

void Record::line(const std::string &text)
{
    const auto at = now();
    const std::lock_guard lock{m_mutex};
    m_file << at << " ms  " << text << '\n' << std::flush;
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
}

std::string Message::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string{} : it->second;
}

Connection::~Connection()
{
    close(m_fd);
}

std::unique_ptr<Connection> Connection::open(const std::string &host, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(host, port);
    auto connection = std::make_unique<Connection>(fd);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return nullptr;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

bool Connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Connection::fill(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    pollfd entry{m_fd, POLLIN, 0};
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    const auto size = m_buffer.size();
    m_buffer.resize(size + kReadBytes);
    const auto n = recv(m_fd, m_buffer.data() + size, kReadBytes, 0);
    m_buffer.resize(size + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    return n > 0;
}

std::optional<Message> Connection::read(Millis timeout)
{
    const auto until = Clock::now() + timeout;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream head{m_buffer.substr(0, end)};
    m_buffer.erase(0, end + 4);
    std::string text;
    while (std::getline(head, text)) {
        if (!text.empty() && text.back() == '\r') {
            text.pop_back();
        }
        const auto colon = text.find(':');
        if (message.firstLine.empty()) {
            message.firstLine = text;
        } else if (colon != std::string::npos) {
            auto name = text.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            message.headers[name] = text.substr(std::min(text.size(), colon + 2));
        }
    }
    const auto length
            = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
    while (m_buffer.size() < length) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return message;
}

bool Connection::isOpen() const
{
    pollfd entry{m_fd, POLLIN, 0};
    char byte = 0;
    return poll(&entry, 1, 0) == 0 || recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Connection::shutdown() const
{
    ::shutdown(m_fd, SHUT_RDWR);
}

Listener::Listener(const std::string &host, int port, Serve serve)
    : m_fd{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}, m_serve{std::move(serve)}
{
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(host, port);
    if (bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(m_fd, kBacklog) != 0) {
        throw std::runtime_error{"cannot listen at " + host + ":" + std::to_string(port)};
    }
    m_acceptor = std::thread{[this] { run(); }};
}

void Listener::run()
{
    while (!m_isStopped) {
        const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock{m_mutex};
        m_threads.emplace_back([this, fd] {
            Connection connection{fd};
            {
                const std::lock_guard inner{m_mutex};
                m_open.push_back(&connection);
            }
            m_serve(connection);
            const std::lock_guard inner{m_mutex};
            m_open.erase(std::remove(m_open.begin(), m_open.end(), &connection), m_open.end());
        });
    }
}

Listener::~Listener()
{
    m_isStopped = true;
    ::shutdown(m_fd, SHUT_RDWR);
    m_acceptor.join();
    close(m_fd);
    {
        const std::lock_guard lock{m_mutex};
        for (const auto *connection : m_open) {
            connection->shutdown();
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
}

Store::Store(const std::string &host, int port, Record &record) : m_record{record}
{
    m_listener = std::make_unique<Listener>(host, port,
                                            [this](Connection &connection) { serve(connection); });
}

Store::~Store()
{
    {
        const std::lock_guard lock{m_mutex};
        m_isStopped = true;
    }
    m_changed.notify_all();
    m_listener.reset();
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock{m_mutex};
    m_items[key] = {value, ++m_revision};
    m_events.push_back({key, value, m_revision, false});
    m_record.line("store acknowledges " + key + " at revision " + std::to_string(m_revision));
    m_changed.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    m_items.erase(key);
    m_events.push_back({key, {}, ++m_revision, true});
    m_record.line("store acknowledges the removal of " + key);
    m_changed.notify_all();
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.read(Millis{60'000})) {
        const auto path = target(*request);
        const bool isWatch = path.rfind("/-/kv-watch", 0) == 0;
        const auto body = isWatch
                ? watch(numberParameter(path, "after"), Millis{numberParameter(path, "WaitMs")})
                : list();
        std::this_thread::sleep_for(Millis{4});
        if (!connection.send(answerText("200 OK", "Content-Type: application/json\r\n", body))) {
            return;
        }
    }
}

std::string Store::list()
{
    const std::lock_guard lock{m_mutex};
    std::string items;
    for (const auto &[key, item] : m_items) {
        items.append(items.empty() ? "" : ",");
        items += std::string{R"({"Key":")"} + key + R"(","Value":")" + base64(item.value)
                + R"(","Revision":)" + std::to_string(item.revision) + R"(,"Created":)"
                + std::to_string(item.revision) + R"(,"Lease":0})";
    }
    return R"({"items":[)" + items + R"(],"Truncated":false,"CurrentRev":)"
            + std::to_string(m_revision) + "}";
}

std::string Store::watch(std::int64_t after, Millis wait)
{
    std::unique_lock lock{m_mutex};
    m_changed.wait_for(lock, wait, [&] { return m_isStopped || m_revision > after; });
    std::string events;
    for (const auto &event : m_events) {
        if (event.revision > after) {
            events.append(events.empty() ? "" : ",");
            events += std::string{R"({"Key":")"} + event.key + R"(","Revision":)"
                    + std::to_string(event.revision)
                    + (event.isRemoved ? std::string{R"(,"Removed":true})"}
                                       : R"(,"Value":")" + base64(event.value) + R"("})");
        }
    }
    return R"({"events":[)" + events + R"(],"CurrentRev":)" + std::to_string(m_revision) + "}";
}

Server::Server(const std::string &host, int port, std::string id, Record &record)
    : m_id{std::move(id)}, m_record{record}
{
    m_listener = std::make_unique<Listener>(host, port,
                                            [this](Connection &connection) { serve(connection); });
}

int Server::runs(const std::string &requestId)
{
    const std::lock_guard lock{m_mutex};
    const auto it = m_runs.find(requestId);
    return it == m_runs.end() ? 0 : it->second;
}

void Server::sendEndless(Connection &connection)
{
    m_record.line("server " + m_id + " begins an answer without end");
    const std::string bytes(kReadBytes, 'x');
    std::size_t sent = 0;
    bool isOpen = connection.send("HTTP/1.1 200 OK\r\n\r\n");
    while (isOpen) {
        isOpen = connection.send(bytes);
        sent += isOpen ? bytes.size() : 0;
    }
    m_record.line("server " + m_id + " has sent " + std::to_string(sent)
                  + " bytes, the other side has closed");
}

void Server::serve(Connection &connection)
{
    while (const auto request = connection.read(kIdleTime)) {
        const auto path = target(*request);
        if (m_isInTrouble) {
            sendEndless(connection);
            return;
        }
        if (path == "/health") {
            if (!connection.send(answerText("200 OK", "Instance-Id: " + m_id + "\r\n", {}))) {
                return;
            }
            continue;
        }
        const auto id = request->header("attempt-id");
        const auto echo = "Attempt-Id: " + id + "\r\n";
        if (request->header("target-instance") != m_id) {
            if (!connection.send(answerText("421 Misdirected Request", echo, {}))) {
                return;
            }
            continue;
        }
        {
            const std::lock_guard lock{m_mutex};
            ++m_runs[id];
        }
        m_record.line("server " + m_id + " runs " + id);
        // The path ends with the time that the work takes, in milliseconds.
        const auto work = std::atoi(path.c_str() + path.rfind('/') + 1);
        const auto until = Clock::now() + Millis{work};
        while (Clock::now() < until) {
            if (!connection.isOpen()) {
                m_record.line("server " + m_id + " drops " + id + ": its connection has closed");
                return;
            }
            std::this_thread::sleep_for(Millis{5});
        }
        const auto headers = std::string{echo}.append("Server-Stamp: ").append(id).append("\r\n");
        if (!connection.send(answerText("200 OK", headers, "done " + id))) {
            return;
        }
    }
}

Node::Node(Machine machine, std::string root, std::string settings, int memoryMb, Record &record)
    : m_machine{std::move(machine)}, m_root{std::move(root)}, m_program{m_root + kProgram},
      m_settings{std::move(settings)}, m_memoryMb{memoryMb}, m_record{record}
{ }

Node::~Node()
{
    m_isStopped = true;
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
    const std::lock_guard lock{m_mutex};
    if (m_pid > 0) {
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void Node::start()
{
    const auto log = m_settings + ".log";
    const std::lock_guard lock{m_mutex};
    m_pid = fork();
    if (m_pid == 0) {
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        setenv("CELERYRAMP_CONFIG", m_settings.c_str(), 1);
        // The process ends with the stand-in, also if that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (chdir(m_root.c_str()) != 0) {
            _exit(127);
        }
        execl(m_program.c_str(), m_program.c_str(), nullptr);
        _exit(127);
    }
    m_record.line("node " + m_machine.name + " starts");
    if (!m_watcher.joinable()) {
        m_watcher = std::thread{[this] { watch(); }};
    }
}

void Node::signal(int number)
{
    const std::lock_guard lock{m_mutex};
    if (m_pid > 0) {
        m_record.line("node " + m_machine.name + " gets signal " + std::to_string(number));
        kill(m_pid, number);
    }
}

bool Node::isRunning()
{
    const std::lock_guard lock{m_mutex};
    return m_pid > 0;
}

void Node::watch()
{
    bool isOverLimit = false;
    while (!m_isStopped) {
        std::this_thread::sleep_for(kWatchInterval);
        bool hasEnded = false;
        {
            const std::lock_guard lock{m_mutex};
            const auto mb = largestMemoryMb(m_pid);
            m_peakMb = std::max(m_peakMb.load(), mb);
            if (mb > m_memoryMb && !isOverLimit) {
                isOverLimit = true;
                ++m_kills;
                m_record.line("node " + m_machine.name + " has " + std::to_string(mb)
                              + " MB of memory, over its limit of " + std::to_string(m_memoryMb)
                              + " MB, and is killed");
                kill(m_pid, SIGKILL);
            }
            if (waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
                m_record.line("node " + m_machine.name + " has ended");
                m_exits += isOverLimit ? 0 : 1;
                hasEnded = true;
                m_pid = -1;
            }
        }
        if (hasEnded) {
            isOverLimit = false;
            std::this_thread::sleep_for(kRestartPause);
            if (!m_isStopped) {
                start();
            }
        }
    }
}

Site::Site(const std::string &folder, int memoryMb)
    : record{folder + "/record.txt"}, m_memoryMb{memoryMb}
{
    std::string text
            = std::filesystem::temp_directory_path().string() + "/celeryramp-review-XXXXXX";
    if (mkdtemp(text.data()) == nullptr) {
        throw std::runtime_error{"no temporary folder"};
    }
    m_temporary = text;
    m_root = std::filesystem::canonical(folder + "/../..").string();
    // Looks for a network of loopback addresses on which all ports are free.
    constexpr int kNetworks = 200;
    constexpr int kFirstPort = 21'000;
    const int first = static_cast<int>(getpid() % kNetworks);
    for (int i = 0; i < kNetworks && ports.store == 0; ++i) {
        m_network = 20 + (first + i) % kNetworks;
        bool isFree = true;
        for (int port = kFirstPort; port < kFirstPort + 6; ++port) {
            isFree = isFree && canListen(host(0), port) && canListen(host(1), port);
        }
        if (isFree) {
            ports = {kFirstPort,     kFirstPort + 1, kFirstPort + 2,
                     kFirstPort + 3, kFirstPort + 4, kFirstPort + 5};
        }
    }
    if (ports.store == 0) {
        throw std::runtime_error{"no free ports"};
    }
    store = std::make_unique<Store>(host(0), ports.store, record);
}

Site::~Site()
{
    nodes.clear();
    servers.clear();
    store.reset();
    std::error_code ignored;
    if (std::getenv("REVIEW_KEEP") == nullptr) {
        std::filesystem::remove_all(m_temporary, ignored);
    }
}

std::string Site::host(int index) const
{
    return "127." + std::to_string(m_network) + ".0." + std::to_string(index + 1);
}

std::string Site::settings(const Machine &machine) const
{
    const auto address = [&machine](int port) { return machine.host + ":" + std::to_string(port); };
    const std::map<std::string, std::string> values{
            {"{{NodeName}}", machine.name},
            {"{{Zone}}", machine.zone},
            {"{{Service}}", machine.service},
            {"{{ListenAddrs.Outbound}}", address(ports.outbound)},
            {"{{ListenAddrs.Inbound}}", address(ports.inbound)},
            {"{{ListenAddrs.Readiness}}", address(ports.readiness)},
            {"{{AppAddr}}", address(ports.app)},
            {"{{Platform.Address}}", host(0) + ":" + std::to_string(ports.store)},
            {"{{Bounds.Revoke}}", "5000ms"},
            {"{{Bounds.Grace}}", "6s"},
            {"{{Bounds.RetryBudgetRatio}}", "0.2"},
            {"metrics_port = 7010", "metrics_port = " + std::to_string(ports.metrics)}};
    std::ifstream file{m_root + "/platform/settings.template.toml"};
    std::stringstream text;
    text << file.rdbuf();
    auto filled = text.str();
    for (const auto &[name, value] : values) {
        for (auto at = filled.find(name); at != std::string::npos; at = filled.find(name)) {
            filled.replace(at, name.size(), value);
            if (name == value) {
                break;
            }
        }
    }
    return filled;
}

Server &Site::addMachine(const std::string &zone, const std::string &service)
{
    const auto index = machines.size();
    Machine machine;
    machine.name = "machine-" + std::to_string(index);
    machine.zone = zone;
    machine.service = service;
    machine.host = host(static_cast<int>(index) + 1);
    machine.serverId = "i-" + service + "-" + std::to_string(index);
    servers.push_back(std::make_unique<Server>(machine.host, ports.app, machine.serverId, record));
    const auto path = m_temporary + "/" + machine.name + ".toml";
    std::ofstream{path} << settings(machine);
    nodes.push_back(std::make_unique<Node>(machine, m_root, path, m_memoryMb, record));
    machines.push_back(machine);
    publishServer(index, "ready");
    return *servers.back();
}

void Site::publishServer(std::size_t index, const std::string &state)
{
    const auto &machine = machines.at(index);
    store->put("servers/" + machine.serverId,
               R"({"Address":")" + machine.host + ":" + std::to_string(ports.app)
                       + R"(","Info":{"Service":")" + machine.service
                       + R"(","Version":"v1","Zone":")" + machine.zone + R"(","Slots":)"
                       + std::to_string(kSlots) + R"(},"Status":{"State":")" + state
                       + R"(","Sequence":1,"ColdRemaining":"0ms"},"born":)"
                       + std::to_string(kFirstStart + m_starts) + "}");
}

void Site::restartServer(std::size_t index, Millis down, bool isInTrouble)
{
    auto &machine = machines.at(index);
    servers.at(index).reset();
    record.line("server " + machine.serverId + " has crashed");
    std::this_thread::sleep_for(down);
    store->remove("servers/" + machine.serverId);
    machine.serverId += "-again";
    servers.at(index) = std::make_unique<Server>(machine.host, ports.app, machine.serverId, record);
    if (isInTrouble) {
        servers.at(index)->beginTrouble();
    }
    ++m_starts;
    publishServer(index, "ready");
}

bool Site::startNodes()
{
    for (const auto &node : nodes) {
        node->start();
    }
    const auto until = Clock::now() + kStartTime;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        while (!isReady(i)) {
            if (Clock::now() > until) {
                record.line("node " + machines[i].name + " is not ready");
                return false;
            }
            std::this_thread::sleep_for(Millis{50});
        }
    }
    return true;
}

bool Site::isReady(std::size_t index) const
{
    const auto connection = Connection::open(machines.at(index).host, ports.readiness);
    if (!connection
        || !connection->send("GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto answer = connection->read(Millis{1000});
    return answer && statusOf(*answer) == 200;
}

std::unique_ptr<Connection> Site::connect(std::size_t index) const
{
    return Connection::open(machines.at(index).host, ports.outbound);
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs, const std::string &body)
{
    auto text = method + " " + path + " HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: " + id
            + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
            + "\r\nAuthorization: Bearer k-review\r\n";
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

int statusOf(const Message &answer)
{
    const auto space = answer.firstLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(answer.firstLine.c_str() + space + 1);
}

} // namespace review
