// Stand-ins for the cases of the second review: the platform's store, application servers, clients
// and the platform's handling of node processes. Plain sockets, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
using std::string;

inline const auto kStart = Clock::now();

inline int64_t now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

inline int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

inline void pause(int millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

inline bool waitFor(int millis, const std::function<bool()> &isTrue)
{
    for (const auto end = now() + millis; now() < end; pause(10)) {
        if (isTrue()) {
            return true;
        }
    }
    return isTrue();
}

// record.txt of the case.
struct Record
{
    FILE *file = nullptr;
    std::mutex mutex;
    void open(const string &path) { file = std::fopen(path.c_str(), "w"); }
    void line(const char *format, ...)
    {
        const std::lock_guard lock{mutex};
        if (file == nullptr) {
            return;
        }
        std::fprintf(file, "%7lld ms  ", static_cast<long long>(now()));
        va_list args;
        va_start(args, format);
        std::vfprintf(file, format, args);
        va_end(args);
        std::fputc('\n', file);
        std::fflush(file);
    }
};
inline Record record;

// ---------------------------------------------------------------- sockets and HTTP/1.1

inline sockaddr_in address(const string &host, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &out.sin_addr);
    return out;
}

inline int listenAt(const string &host, int port, bool quiet = false)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto at = address(host, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || listen(fd, 512) != 0) {
        if (!quiet) {
            std::perror("listen");
        }
        close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(const string &host, int port, int timeoutMillis = 1000)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto at = address(host, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
        && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    pollfd ready{fd, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof error;
    if (poll(&ready, 1, timeoutMillis) != 1
        || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const string &bytes)
{
    for (size_t at = 0; at < bytes.size();) {
        const auto n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        at += static_cast<size_t>(n);
    }
    return true;
}

struct Message
{
    string start;
    std::vector<std::pair<string, string>> headers;
    string body;
    bool isComplete = false; // otherwise the connection ended or the time was over before
    bool isTimeOver = false;

    string header(const string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    bool has(const string &name) const
    {
        return std::any_of(headers.begin(), headers.end(), [&](const auto &it) {
            return strcasecmp(it.first.c_str(), name.c_str()) == 0;
        });
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    string method() const { return start.substr(0, start.find(' ')); }
    string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

// Reads from a connection; keeps what stands behind the message.
struct Reader
{
    int fd;
    string buffer;

    // 1: bytes came, 0: end or reset, -1: time over
    int more(int64_t until)
    {
        pollfd ready{fd, POLLIN, 0};
        const auto left = std::max<int64_t>(0, until - now());
        if (poll(&ready, 1, static_cast<int>(left)) != 1) {
            return -1;
        }
        char bytes[65536];
        const auto n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return 0;
        }
        buffer.append(bytes, static_cast<size_t>(n));
        return 1;
    }

    bool need(Message &message, int64_t until)
    {
        const int n = more(until);
        message.isTimeOver = n < 0;
        return n > 0;
    }

    Message read(int timeoutMillis)
    {
        const auto until = now() + timeoutMillis;
        Message message;
        size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == string::npos) {
            if (!need(message, until)) {
                return message;
            }
        }
        std::istringstream head{buffer.substr(0, end)};
        buffer.erase(0, end + 4);
        string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (message.start.empty()) {
                message.start = line;
            } else if (const auto colon = line.find(':'); colon != string::npos) {
                const auto value = line.find_first_not_of(" \t", colon + 1);
                message.headers.emplace_back(line.substr(0, colon),
                                             value == string::npos ? "" : line.substr(value));
            }
        }
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                size_t eol = 0;
                while ((eol = buffer.find("\r\n")) == string::npos) {
                    if (!need(message, until)) {
                        return message;
                    }
                }
                const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
                while (buffer.size() < eol + 2 + size + 2) {
                    if (!need(message, until)) {
                        return message;
                    }
                }
                message.body.append(buffer, eol + 2, size);
                buffer.erase(0, eol + 2 + size + 2);
                if (size == 0) {
                    message.isComplete = true;
                    return message;
                }
            }
        }
        const auto length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        while (buffer.size() < length) {
            if (!need(message, until)) {
                message.body = buffer;
                return message;
            }
        }
        message.body = buffer.substr(0, length);
        buffer.erase(0, length);
        message.isComplete = true;
        return message;
    }
};

inline string answerText(int status, const std::vector<std::pair<string, string>> &headers,
                         const string &body)
{
    string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and serves each with a thread of its own.
struct Acceptor
{
    int fd = -1;
    std::thread thread;
    std::mutex mutex;
    std::set<int> open;
    std::atomic<bool> isStopped{false};
    std::function<void(int)> serve;

    bool start(const string &host, int port, std::function<void(int)> handler)
    {
        serve = std::move(handler);
        fd = listenAt(host, port);
        if (fd < 0) {
            return false;
        }
        thread = std::thread{[this] {
            while (true) {
                const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    return;
                }
                const int one = 1;
                setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                {
                    const std::lock_guard lock{mutex};
                    if (isStopped) {
                        close(connection);
                        return;
                    }
                    open.insert(connection);
                }
                std::thread{[this, connection] {
                    serve(connection);
                    const std::lock_guard lock{mutex};
                    open.erase(connection);
                    close(connection);
                }}.detach();
            }
        }};
        return true;
    }
    void stop()
    {
        isStopped = true;
        shutdown(fd, SHUT_RDWR);
        if (thread.joinable()) {
            thread.join();
        }
        close(fd);
        dropAll();
    }
    void dropAll()
    {
        const std::lock_guard lock{mutex};
        for (const int it : open) {
            shutdown(it, SHUT_RDWR);
        }
    }
};

// ---------------------------------------------------------------- the platform's store

inline string base64(const string &in)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string out;
    for (size_t i = 0; i < in.size(); i += 3) {
        uint32_t n = 0;
        for (size_t k = 0; k < 3; ++k) {
            n = n << 8U | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
        }
        for (size_t k = 0; k < 4; ++k) {
            out += i + k <= in.size() || k < 2 ? digits[n >> (18 - 6 * k) & 63U] : '=';
        }
        if (i + 1 >= in.size()) {
            out[out.size() - 2] = '=';
        }
        if (i + 2 >= in.size()) {
            out[out.size() - 1] = '=';
        }
    }
    return out;
}

inline string queryValue(const string &target, const string &name)
{
    const auto mark = target.find('?');
    for (auto at = mark; at != string::npos; at = target.find('&', at + 1)) {
        if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
            const auto from = at + 2 + name.size();
            const auto to = target.find('&', from);
            string out;
            const auto text = target.substr(from, to == string::npos ? to : to - from);
            for (size_t i = 0; i < text.size(); ++i) {
                if (text[i] == '%' && i + 2 < text.size()) {
                    out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    out += text[i];
                }
            }
            return out;
        }
    }
    return {};
}

class Store
{
public:
    struct Item
    {
        string value;
        int64_t revision = 0;
    };
    struct Event
    {
        string key;
        string value;
        int64_t revision = 0;
        bool isRemoved = false;
    };
    struct Copy
    {
        std::map<string, Item> items;
        std::deque<Event> events;
        int64_t revision = 0;
    };

    bool start(const string &host, int port)
    {
        return m_acceptor.start(host, port, [this](int fd) { serve(fd); });
    }
    void stop()
    {
        setDown(true);
        m_acceptor.stop();
    }
    void put(const string &key, const string &value)
    {
        const std::lock_guard lock{m_mutex};
        m_state.items[key] = {value, ++m_state.revision};
        m_state.events.push_back({key, value, m_state.revision, false});
        m_changed.notify_all();
    }
    void remove(const string &key)
    {
        const std::lock_guard lock{m_mutex};
        if (m_state.items.erase(key) > 0) {
            m_state.events.push_back({key, {}, ++m_state.revision, true});
            m_changed.notify_all();
        }
    }
    Copy copy()
    {
        const std::lock_guard lock{m_mutex};
        return m_state;
    }
    // The drill: the store comes back from a copy.
    void restore(const Copy &copy)
    {
        const std::lock_guard lock{m_mutex};
        m_state = copy;
        ++m_era;
        m_changed.notify_all();
    }
    void setDown(bool isDown)
    {
        m_isDown = isDown;
        m_changed.notify_all();
        if (isDown) {
            m_acceptor.dropAll();
        }
    }

private:
    static string json(const Event &event)
    {
        const auto head
                = "{\"Key\":\"" + event.key + "\",\"Revision\":" + std::to_string(event.revision);
        return event.isRemoved ? head + ",\"Removed\":true}"
                               : head + ",\"Value\":\"" + base64(event.value)
                        + "\",\"Created\":" + std::to_string(event.revision) + ",\"Lease\":0}";
    }
    void serve(int fd)
    {
        Reader reader{fd, {}};
        while (!m_isDown) {
            const auto request = reader.read(60'000);
            if (!request.isComplete || m_isDown || !reply(fd, request.target())) {
                return;
            }
        }
    }
    bool reply(int fd, const string &target)
    {
        pause(4);
        std::unique_lock lock{m_mutex};
        int status = 200;
        string body;
        if (target.rfind("/-/kv-range", 0) == 0) {
            const auto prefix = queryValue(target, "Prefix");
            const auto after = queryValue(target, "after");
            for (const auto &[key, item] : m_state.items) {
                if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
                    body += (body.empty() ? "" : ",")
                            + json({key, item.value, item.revision, false});
                }
            }
            body = "{\"items\":[" + body + "],\"Truncated\":false,\"CurrentRev\":"
                    + std::to_string(m_state.revision) + "}";
        } else if (target.rfind("/-/kv-watch", 0) == 0) {
            const auto prefix = queryValue(target, "Prefix");
            const auto after = std::atoll(queryValue(target, "after").c_str());
            const auto wait = std::min(30'000, std::atoi(queryValue(target, "WaitMs").c_str()));
            const auto era = m_era;
            m_changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
                return m_isDown || m_era != era || m_state.revision != after;
            });
            if (m_isDown) {
                return false;
            }
            if (m_era != era || after > m_state.revision) {
                status = 410;
                body = "{}";
            } else {
                for (const auto &event : m_state.events) {
                    if (event.revision > after
                        && event.key.compare(0, prefix.size(), prefix) == 0) {
                        body += (body.empty() ? "" : ",") + json(event);
                    }
                }
                body = "{\"events\":[" + body
                        + "],\"CurrentRev\":" + std::to_string(m_state.revision) + "}";
            }
        } else {
            status = 404;
            body = "{}";
        }
        const auto era = std::to_string(m_era);
        lock.unlock();
        return sendAll(fd,
                       answerText(status,
                                  {{"Content-Type", "application/json"}, {"Store-Era", era}},
                                  body));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Copy m_state;
    int64_t m_era = 1;
    std::atomic<bool> m_isDown{false};
    Acceptor m_acceptor;
};

// ---------------------------------------------------------------- application servers

struct Run
{
    string id; // Attempt-Id
    string target;
    string server;
    string tenant;
    int64_t at = 0;
};

// All requests that servers began to work on.
struct Runs
{
    std::mutex mutex;
    std::vector<Run> list;
    void add(const Run &run)
    {
        record.line("run       %s at %s %s tenant=%s", run.id.c_str(), run.server.c_str(),
                    run.target.c_str(), run.tenant.c_str());
        const std::lock_guard lock{mutex};
        list.push_back(run);
    }
    int count(const string &id)
    {
        const std::lock_guard lock{mutex};
        return static_cast<int>(std::count_if(list.begin(), list.end(),
                                              [&](const Run &run) { return run.id == id; }));
    }
};
inline Runs runs;

struct Server
{
    string host;
    int port = 0;
    string id;
    string service;
    string zone;
    int slots = 18;
    int workMillis = 50;
    string state = "ready";
    // Answers in place of the usual one; false to go on as usual. Called after the work.
    std::function<bool(int fd, const Message &)> answer;

    Acceptor acceptor;
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
    int64_t sequence = 0;
    int64_t born = unixMillis();

    bool start()
    {
        return acceptor.start(host, port, [this](int fd) { serve(fd); });
    }
    string entry()
    {
        return "{\"Address\":\"" + host + ":" + std::to_string(port)
                + "\",\"born\":" + std::to_string(born) + ",\"Info\":{\"Service\":\"" + service
                + "\",\"Version\":\"v1\",\"Zone\":\"" + zone
                + "\",\"Slots\":" + std::to_string(slots) + "},\"Status\":{\"State\":\"" + state
                + "\",\"Sequence\":" + std::to_string(++sequence) + ",\"ColdRemaining\":\"0ms\"}}";
    }
    void serve(int fd)
    {
        Reader reader{fd, {}};
        while (true) {
            const auto request = reader.read(10'000);
            if (!request.isComplete || !handle(fd, request)) {
                return;
            }
        }
    }
    bool handle(int fd, const Message &request)
    {
        if (request.target() == "/health") {
            return sendAll(fd, answerText(200, {{"Instance-Id", id}}, "ok"));
        }
        const auto attempt = request.header("Attempt-Id");
        const auto target = request.header("Target-Instance");
        if (!target.empty() && target != id) {
            return sendAll(fd, answerText(421, {{"Instance-Id", id}, {"Attempt-Id", attempt}}, ""));
        }
        if (attempt.empty()) {
            return sendAll(fd, answerText(400, {{"Not-Executed", "1"}}, ""));
        }
        {
            std::unique_lock lock{mutex};
            if (running >= slots && waiting >= 4 * slots) {
                return sendAll(
                        fd, answerText(503, {{"Not-Executed", "1"}, {"Attempt-Id", attempt}}, ""));
            }
            ++waiting;
            freed.wait(lock, [this] { return running < slots; });
            --waiting;
            ++running;
        }
        runs.add({attempt, request.target(), id, request.header("Tenant"), now()});
        pause(workMillis);
        {
            const std::lock_guard lock{mutex};
            --running;
            freed.notify_one();
        }
        if (answer && answer(fd, request)) {
            return true;
        }
        return sendAll(
                fd,
                answerText(200,
                           {{"Attempt-Id", attempt}, {"Server-Stamp", "s." + id + "." + attempt}},
                           "result of " + attempt));
    }
};

// ---------------------------------------------------------------- clients

struct Outcome
{
    int status = 0; // 0: no answer
    string body;
    Message answer;
};

inline string requestText(const string &method, const string &host, const string &target,
                          const string &id, const string &key, int deadline,
                          const string &extra = {}, const string &body = {})
{
    auto out = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
            + "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\n";
    if (!key.empty()) {
        out += "Authorization: Bearer " + key + "\r\n";
    }
    out += extra;
    if (!body.empty()) {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

inline Outcome call(const string &host, int port, const string &text, int timeoutMillis)
{
    const int fd = connectTo(host, port);
    if (fd < 0) {
        return {};
    }
    Outcome outcome;
    if (sendAll(fd, text)) {
        Reader reader{fd, {}};
        outcome.answer = reader.read(timeoutMillis);
        if (outcome.answer.isComplete) {
            outcome.status = outcome.answer.status();
            outcome.body = outcome.answer.body;
        }
    }
    close(fd);
    return outcome;
}

// ---------------------------------------------------------------- machines and the platform

struct Site;

struct Machine
{
    string name;
    string host;
    string zone;
    std::shared_ptr<Server> server;
    pid_t pid = -1;
    int ends = 0;
};

constexpr int kLinks = 8543;
constexpr int kReady = 8546;
constexpr int kApp = 8547;
constexpr int kOutbound = 8548;
constexpr int kStorePort = 8545;

struct Site
{
    string root; // repository
    string folder; // of the case
    string temp;
    string net; // first three numbers of the addresses
    int memoryMb = 110;
    int maxFds = 4100;
    string moreSettings; // before those of the template; `{{host}}` is that of the machine
    Store store;
    std::vector<std::unique_ptr<Machine>> machines;
    std::thread heart;
    std::atomic<bool> isOver{false};
    std::atomic<bool> areHearts{true};

    Site()
    {
        std::signal(SIGPIPE, SIG_IGN);
        const char *at = std::getenv("CASE_ROOT");
        const char *in = std::getenv("CASE_FOLDER");
        root = at != nullptr ? at : ".";
        folder = in != nullptr ? in : ".";
        record.open(folder + "/record.txt");
        rlimit files{};
        getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = files.rlim_max;
        setrlimit(RLIMIT_NOFILE, &files);
        char path[] = "/tmp/celeryramp-review-XXXXXX";
        temp = mkdtemp(path);
        const auto seed = static_cast<unsigned>(getpid());
        for (unsigned i = 0; i < 200; ++i) {
            net = "127." + std::to_string(20 + (seed + i) % 200) + "."
                    + std::to_string(1 + (seed / 200 + i) % 250);
            const int probe = listenAt(net + ".1", kStorePort, true);
            if (probe >= 0) {
                close(probe);
                break;
            }
        }
        if (!std::filesystem::exists(root + "/target/bin/celeryramp-node")) {
            cannotRun("target/bin/celeryramp-node is missing");
        }
    }
    ~Site() { end(); }

    [[noreturn]] void cannotRun(const char *why)
    {
        record.line("the case could not run: %s", why);
        std::fprintf(stderr, "the case could not run: %s\n", why);
        end();
        std::_Exit(2);
    }
    void add(const string &zone, const string &service, int workMillis)
    {
        auto machine = std::make_unique<Machine>();
        const auto n = machines.size() + 1;
        machine->name = "sidecar-" + std::to_string(n);
        machine->host = net + "." + std::to_string(10 + n);
        machine->zone = zone;
        machine->server = std::make_shared<Server>();
        auto &server = *machine->server;
        server.host = machine->host;
        server.port = kApp;
        server.id = "i-" + std::to_string(n) + "a";
        server.service = service;
        server.zone = zone;
        server.workMillis = workMillis;
        machines.push_back(std::move(machine));
    }
    void beat(Server &server) { store.put("servers/" + server.id, server.entry()); }
    void start()
    {
        if (!store.start(net + ".1", kStorePort)) {
            cannotRun("no port for the store");
        }
        for (auto &machine : machines) {
            if (!machine->server->start()) {
                cannotRun("no port for a server");
            }
            beat(*machine->server);
        }
        heart = std::thread{[this] {
            for (int tick = 0; !isOver; ++tick) {
                pause(100);
                for (size_t i = 0; i < machines.size(); ++i) {
                    if (areHearts && tick % 15 == static_cast<int>(i) % 15) {
                        beat(*machines[i]->server);
                    }
                }
            }
        }};
        for (auto &machine : machines) {
            launch(*machine);
        }
    }
    string settings(const Machine &machine) const
    {
        std::ifstream file{root + "/platform/settings.template.toml"};
        std::stringstream text;
        text << file.rdbuf();
        auto out = moreSettings + text.str();
        const std::map<string, string> fields{
                {"host", machine.host},
                {"NodeName", machine.name},
                {"Zone", machine.zone},
                {"Service", machine.server->service},
                {"ListenAddrs.Outbound", machine.host + ":" + std::to_string(kOutbound)},
                {"ListenAddrs.Inbound", machine.host + ":" + std::to_string(kLinks)},
                {"ListenAddrs.Readiness", machine.host + ":" + std::to_string(kReady)},
                {"AppAddr", machine.host + ":" + std::to_string(kApp)},
                {"Platform.Address", net + ".1:" + std::to_string(kStorePort)},
                {"Limits.MemoryMb", std::to_string(memoryMb)},
                {"Limits.MaxFds", std::to_string(maxFds)},
                {"Limits.LinkMbps", "1000.0"},
                {"Bounds.Revoke", "5000ms"},
                {"Bounds.ConfigApply", "2000ms"},
                {"Bounds.Grace", "6s"},
                {"Bounds.RetryBudgetRatio", "0.2"}};
        for (const auto &[name, value] : fields) {
            const auto mark = "{{" + name + "}}";
            for (auto at = out.find(mark); at != string::npos; at = out.find(mark)) {
                out.replace(at, mark.size(), value);
            }
        }
        return out;
    }
    void launch(Machine &machine)
    {
        const auto path = temp + "/" + machine.name + ".toml";
        std::ofstream{path} << settings(machine);
        const auto log = temp + "/" + machine.name + ".log";
        const auto variable = "CELERYRAMP_CONFIG=" + path;
        const auto parent = getpid();
        machine.pid = fork();
        if (machine.pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent || chdir(root.c_str()) != 0) {
                _exit(127);
            }
            rlimit files{};
            getrlimit(RLIMIT_NOFILE, &files);
            files.rlim_cur = std::min<rlim_t>(files.rlim_max, static_cast<rlim_t>(maxFds));
            setrlimit(RLIMIT_NOFILE, &files);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            char *const arguments[] = {const_cast<char *>("target/bin/celeryramp-node"), nullptr};
            char *const environment[]
                    = {const_cast<char *>("PATH=/usr/bin:/bin"), const_cast<char *>("HOME=/tmp"),
                       const_cast<char *>(variable.c_str()), nullptr};
            execve(arguments[0], arguments, environment);
            _exit(127);
        }
        record.line("start     %s %s pid=%d", machine.name.c_str(), machine.host.c_str(),
                    machine.pid);
    }
    void kill(Machine &machine, int signal)
    {
        if (machine.pid > 0) {
            record.line("signal    %d to %s", signal, machine.name.c_str());
            ::kill(machine.pid, signal);
        }
    }
    // Ends the process at once and waits for its end.
    void killNow(Machine &machine)
    {
        if (machine.pid > 0) {
            kill(machine, SIGKILL);
            waitpid(machine.pid, nullptr, 0);
            machine.pid = -1;
        }
    }
    // True if the process has ended by itself.
    bool hasEnded(Machine &machine)
    {
        int status = 0;
        if (machine.pid > 0 && waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
            record.line("end       %s status=%x", machine.name.c_str(), status);
            machine.pid = -1;
            return true;
        }
        return false;
    }
    bool isReady(const Machine &machine, int timeoutMillis = 500) const
    {
        return call(machine.host, kReady, "GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", timeoutMillis)
                       .status
                == 200;
    }
    void waitUntilReady()
    {
        for (auto &machine : machines) {
            if (!waitFor(10'000, [&] { return isReady(*machine); })) {
                cannotRun("a node is not ready");
            }
        }
        record.line("all nodes are ready");
    }
    void end()
    {
        isOver = true;
        if (heart.joinable()) {
            heart.join();
        }
        for (auto &machine : machines) {
            if (machine->pid > 0) {
                ::kill(machine->pid, SIGKILL);
                waitpid(machine->pid, nullptr, 0);
                machine->pid = -1;
            }
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(temp, ignored);
        } else {
            std::fprintf(stderr, "logs in %s\n", temp.c_str());
        }
    }
    // Ends all processes and the case.
    [[noreturn]] void exit(bool isBroken)
    {
        record.line("result    %s", isBroken ? "the rule was broken" : "the rule held");
        std::printf("%s\n", isBroken ? "the rule was broken" : "the rule held");
        std::fflush(stdout);
        end();
        std::_Exit(isBroken ? 1 : 0);
    }
};

inline bool isTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || string{value} != "0";
}

struct RouteText
{
    string name, host, prefix, kind, service;
    int timeout = 1500;
    int target = 500;
    int attempts = 2;
};

inline string configuration(int version, const std::vector<RouteText> &routes,
                            const std::vector<std::pair<string, std::vector<string>>> &tenants,
                            int bodyLimit = 67108864)
{
    string out = "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
    std::set<string> services;
    for (size_t i = 0; i < routes.size(); ++i) {
        const auto &it = routes[i];
        services.insert(it.service);
        out += string{i == 0 ? "" : ","} + "{\"Name\":\"" + it.name + "\",\"Host\":\"" + it.host
                + "\",\"Prefix\":\"" + it.prefix + "\",\"Kind\":\"" + it.kind + "\",\"Timeout\":\""
                + std::to_string(it.timeout) + "ms\",\"TargetLatency\":\""
                + std::to_string(it.target) + "ms\",\"Priority\":1,\"Service\":\"" + it.service
                + "\",\"MaxAttempts\":" + std::to_string(it.attempts)
                + ",\"AllowAnonymous\":false}";
    }
    out += "],\"Services\":[";
    bool isFirst = true;
    for (const auto &name : services) {
        out += string{isFirst ? "" : ","} + "{\"Name\":\"" + name
                + "\",\"HealthPath\":\"/health\",\"MaxConnections\":110,\"Protocol\":\"h1\","
                  "\"Tls\":false,\"ColdStart\":\"3s\",\"ColdPerS\":23.0}";
        isFirst = false;
    }
    out += "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" + std::to_string(bodyLimit)
            + ",\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}";
    if (!tenants.empty()) {
        out += ",\"Tenants\":[";
        for (size_t i = 0; i < tenants.size(); ++i) {
            out += string{i == 0 ? "" : ","} + "{\"Name\":\"" + tenants[i].first
                    + "\",\"ApiKeys\":[";
            for (size_t k = 0; k < tenants[i].second.size(); ++k) {
                out += string{k == 0 ? "" : ","} + "\"" + tenants[i].second[k] + "\"";
            }
            out += "],\"Priority\":1,\"RatePerS\":100000,\"Burst\":100000}";
        }
        out += "]";
    }
    return out + "}";
}

} // namespace kit
