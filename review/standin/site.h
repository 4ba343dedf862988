#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/*! @brief What was sent, answered and run, one line an event, with the milliseconds since the
 * start.
 */
class Record
{
public:
    explicit Record(const std::string &path) : m_file{path} { }

    void line(const std::string &text);
    [[nodiscard]] std::int64_t now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/*! @brief Head and body of a message of HTTP/1.1. */
struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers; /*!< By name in lower case. */
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const;
};

/*! @brief Blocking TCP connection with the reading of messages. Closes its socket at its end. */
class Connection
{
public:
    explicit Connection(int fd) : m_fd{fd} { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /*! @return A connection to an address, or null. */
    [[nodiscard]] static std::unique_ptr<Connection> open(const std::string &host, int port);

    [[nodiscard]] bool send(const std::string &bytes) const;
    /*! @return The next message with its body, or nothing at the end of the connection or time. */
    [[nodiscard]] std::optional<Message> read(Millis timeout);
    /*! @return False once the other side has closed the connection. */
    [[nodiscard]] bool isOpen() const;
    void shutdown() const;

private:
    [[nodiscard]] bool fill(Clock::time_point until);

    int m_fd;
    std::string m_buffer;
};

/*! @brief Listening socket that serves each connection on a thread of its own. */
class Listener
{
public:
    using Serve = std::function<void(Connection &)>;

    Listener(const std::string &host, int port, Serve serve);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

private:
    void run();

    int m_fd = -1;
    std::atomic<bool> m_isStopped{false};
    Serve m_serve;
    std::mutex m_mutex;
    std::vector<Connection *> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/*! @brief Stand-in of the platform's metadata store, as far as nodes read it. */
class Store
{
public:
    Store(const std::string &host, int port, Record &record);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
    };
    struct Event
    {
        std::string key;
        std::string value;
        std::int64_t revision = 0;
        bool isRemoved = false;
    };

    void serve(Connection &connection);
    [[nodiscard]] std::string list();
    [[nodiscard]] std::string watch(std::int64_t after, Millis wait);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopped = false;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::int64_t m_revision = 10;
    std::unique_ptr<Listener> m_listener;
};

/*! @brief Stand-in of an application server. */
class Server
{
public:
    Server(const std::string &host, int port, std::string id, Record &record);

    /*! @brief From now on the server answers everything with bytes that have no end. */
    void beginTrouble() { m_isInTrouble = true; }
    /*! @return How often a request has run. */
    [[nodiscard]] int runs(const std::string &requestId);
    [[nodiscard]] const std::string &id() const { return m_id; }

private:
    void serve(Connection &connection);
    void sendEndless(Connection &connection);

    std::string m_id;
    Record &m_record;
    std::atomic<bool> m_isInTrouble{false};
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::unique_ptr<Listener> m_listener;
};

/*! @brief Machine of the site: addresses of its node and of its server. */
struct Machine
{
    std::string name;
    std::string zone;
    std::string service;
    std::string host;
    std::string serverId;
};

/*! @brief Process of the node on a machine, with the platform's limit on its memory. */
class Node
{
public:
    /*!
     * @param root Of the repository, in which the process starts.
     * @param memoryMb The process is killed when it has more memory than this.
     */
    Node(Machine machine, std::string root, std::string settings, int memoryMb, Record &record);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start();
    void signal(int number);
    /*! @return True while the process runs. */
    [[nodiscard]] bool isRunning();
    /*! @return Number of times that the process was killed for its memory. */
    [[nodiscard]] int kills() const { return m_kills; }
    /*! @return Number of times that the process ended without being killed here. */
    [[nodiscard]] int exits() const { return m_exits; }
    /*! @return Largest memory that was seen, in MB. */
    [[nodiscard]] int peakMb() const { return m_peakMb; }

private:
    void watch();

    Machine m_machine;
    std::string m_root;
    std::string m_program;
    std::string m_settings;
    int m_memoryMb;
    Record &m_record;
    std::mutex m_mutex;
    pid_t m_pid = -1;
    std::atomic<int> m_kills{0};
    std::atomic<int> m_exits{0};
    std::atomic<int> m_peakMb{0};
    std::atomic<bool> m_isStopped{false};
    std::thread m_watcher;
};

/*! @brief Ports that are the same on all machines of the site. */
struct Ports
{
    int outbound = 0;
    int inbound = 0;
    int readiness = 0;
    int app = 0;
    int metrics = 0;
    int store = 0;
};

/*! @brief A small site: the store, machines with servers and nodes. */
class Site
{
public:
    /*!
     * @param folder Of the case; its record is written there.
     * @param memoryMb Memory of a machine.
     */
    Site(const std::string &folder, int memoryMb);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /*! @brief Adds a machine with its server and publishes the server. */
    Server &addMachine(const std::string &zone, const std::string &service);
    void publishServer(std::size_t index, const std::string &state);
    /*! @brief Lets a server crash and starts another one, with an id of its own, in its place. */
    void restartServer(std::size_t index, Millis down, bool isInTrouble);
    /*! @brief Starts all nodes and waits until they are ready. @return False if one is not. */
    [[nodiscard]] bool startNodes();
    [[nodiscard]] std::unique_ptr<Connection> connect(std::size_t index) const;
    /*! @return True if the node answers that it is ready. */
    [[nodiscard]] bool isReady(std::size_t index) const;

    Record record;
    Ports ports;
    std::unique_ptr<Store> store;
    std::vector<Machine> machines;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    [[nodiscard]] std::string host(int index) const;
    [[nodiscard]] std::string settings(const Machine &machine) const;

    int m_memoryMb;
    int m_network = 0;
    std::int64_t m_starts = 0; /*!< Of servers. */
    std::string m_temporary;
    std::string m_root;
};

/*! @return The text of a request with the headers that clients send. */
[[nodiscard]] std::string requestText(const std::string &method, const std::string &path,
                                      const std::string &id, int deadlineMs,
                                      const std::string &body);

/*! @return True unless the environment says TROUBLE=0. */
[[nodiscard]] bool hasTrouble();

/*! @return The status of an answer, or 0. */
[[nodiscard]] int statusOf(const Message &answer);

} // namespace review
