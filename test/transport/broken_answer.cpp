#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "transport/backend_client.h"
#include "transport/link_policy.h"
#include "transport/platform_client.h"

using namespace celeryramp;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t kPort = 17851;
constexpr Millis kPatience{3000};
constexpr Millis kPause{30};
/*! More than the operating system takes of a request whose server does not read. */
constexpr std::size_t kUpload = 12'000'000;

const tcp::endpoint kEndpoint{boost::asio::ip::make_address("127.0.0.61"), kPort};

/*! How a server ends its connection after the bytes. */
enum class End { Keeps, Closes, Resets };

/*! @brief Server that sends given bytes on its first connection and a good answer on each later
 * one, on its own thread. */
class BrokenServer
{
public:
    BrokenServer(std::string bytes, End end, bool isByteByByte)
        : m_bytes{std::move(bytes)}, m_end{end}, m_isByteByByte{isByteByByte},
          m_acceptor{m_context, kEndpoint}, m_thread{[this] { serve(); }}
    { }

    ~BrokenServer()
    {
        m_isStopping = true;
        boost::system::error_code ignored;
        tcp::socket waker{m_context};
        waker.connect(kEndpoint, ignored);
        m_thread.join();
    }

    std::atomic<int> connections{0};

private:
    void serve()
    {
        while (true) {
            tcp::socket socket{m_context};
            m_acceptor.accept(socket);
            if (m_isStopping) {
                return;
            }
            ++connections;
            std::array<char, 4096> input{};
            boost::system::error_code ec;
            socket.read_some(boost::asio::buffer(input), ec);
            if (connections > 1) {
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                continue;
            }
            socket.set_option(tcp::no_delay{true});
            if (m_isByteByByte) {
                for (const char c : m_bytes) {
                    write(socket, {&c, 1});
                }
            } else {
                write(socket, m_bytes);
            }
            if (m_end == End::Resets) {
                std::this_thread::sleep_for(kPause);
                socket.set_option(boost::asio::socket_base::linger{true, 0});
                socket.close(ec);
            } else if (m_end == End::Keeps) {
                socket.read_some(boost::asio::buffer(input), ec); // until the client closes
            }
        }
    }

    static void write(tcp::socket &socket, std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes.data(), bytes.size()), ignored);
    }

    std::string m_bytes;
    End m_end;
    bool m_isByteByByte;
    std::atomic<bool> m_isStopping{false};
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

CallMessage post(std::size_t bodyBytes = 1)
{
    CallMessage call;
    call.method = "POST";
    call.target = "/";
    call.request = "r1";
    call.body.data = std::string(bodyBytes, 'u');
    return call;
}

/*! @brief Requires that the bytes are no answer and that their connection is not used again. */
void requireBroken(const std::string &bytes, End end, std::size_t upload = 1)
{
    for (const bool isByteByByte : {false, true}) {
        CAPTURE(bytes, isByteByByte);
        BrokenServer server{bytes, end, isByteByByte};
        BackendClient client{Address{"127.0.0.61", kPort}};
        const auto reply = client.call(post(upload), {"", kPatience});
        REQUIRE(reply.end == BackendEnd::Broken);
        REQUIRE(reply.status == 0);
        REQUIRE(reply.headers.empty());
        REQUIRE(reply.body.empty());
        REQUIRE(client.call(post(), {"", kPatience}).end == BackendEnd::Answered);
        REQUIRE(server.connections >= 2);
    }
}

BackendReply requireAnswered(const std::string &bytes, End end)
{
    BackendReply reply;
    for (const bool isByteByByte : {false, true}) {
        CAPTURE(bytes, isByteByByte);
        BrokenServer server{bytes, end, isByteByByte};
        BackendClient client{Address{"127.0.0.61", kPort}};
        reply = client.call(post(), {"", kPatience});
        REQUIRE(reply.end == BackendEnd::Answered);
        REQUIRE(reply.body == "abc");
    }
    return reply;
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kLength = "Content-Length: 3\r\n\r\nabc";

} // namespace

TEST_CASE("broken answer: a status that no server can give")
{
    const auto *status = GENERATE("000", "001", "099", "101", "600", "999", "0", "0000", "20",
                                  "1000", "-01", "+20", " 00", " 200", "200\t", "abc", "");
    requireBroken("HTTP/1.1 " + std::string{status} + " Odd\r\n" + kLength, End::Keeps);
    requireBroken("HTTP/1.1 " + std::string{status} + "\r\n" + kLength, End::Keeps);
    requireBroken("HTTP/1.1 " + std::string{status} + " Odd\r\n\r\n" + kOk + kLength, End::Keeps);
    requireBroken("HTTP/1.1 " + std::string{status} + " Odd\r\n\r\nabc", End::Closes);
}

TEST_CASE("broken answer: an interim response without a final one")
{
    const auto *status = GENERATE("100 Continue", "103 Hints", "199 Odd");
    requireBroken("HTTP/1.1 " + std::string{status} + "\r\n" + kLength, End::Closes);
    requireBroken("HTTP/1.1 " + std::string{status} + "\r\n\r\n", End::Closes);
}

TEST_CASE("broken answer: a head with a blank or control byte in the name of a field")
{
    const std::string line = GENERATE(
            as<std::string>{}, "X Y: 1", "X Y:", "X : 1", "Content-Length : 3", " X: 1", "\tX: 1",
            "X\x01Y: 1", "X\x7f: 1", std::string{"X\0: 1", 5}, "X\rY: 1", "X\nY: 1", "X", ": 1",
            " ", "Z: 1\r\n Content-Length: 2", "Z: 1\r\n\tfolded");
    requireBroken(kOk + line + "\r\n" + kLength, End::Keeps);
    requireBroken("HTTP/1.1 503 Busy\r\n" + line + "\r\n" + kLength, End::Keeps);
}

TEST_CASE("broken answer: framing that is contradictory or not undone")
{
    const auto *framing = GENERATE("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
                                   "Content-Length: +3\r\n\r\nabc", "Content-Length: 3x\r\n\r\nabc",
                                   "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                                   "Transfer-Encoding: chunked\r\n\r\n3x\r\nabc\r\n0\r\n\r\n");
    requireBroken(kOk + framing, End::Keeps);
}

TEST_CASE("broken answer: a part that is reset during the upload")
{
    requireBroken(kOk + "\r\npart", End::Resets, kUpload);
    requireBroken(kOk + "\r\npart", End::Resets);
    requireBroken(kOk + "Content-Length: 5\r\n\r\npart", End::Resets, kUpload);
    requireBroken(kOk + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", End::Closes);
}

TEST_CASE("broken answer: a short one on an open connection is awaited to the deadline")
{
    const auto *framing
            = GENERATE("Content-Length: 100000\r\n\r\npart",
                       "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "\r\npart", "Content-Le");
    BrokenServer server{kOk + framing, End::Keeps, false};
    BackendClient client{Address{"127.0.0.61", kPort}};
    const auto reply = client.call(post(), {"", Millis{400}});
    REQUIRE(reply.end == BackendEnd::TimedOut);
    REQUIRE(reply.body.empty());
}

TEST_CASE("broken answer: unusual answers are read")
{
    const std::string line = GENERATE(as<std::string>{}, "X: 1", "X:", "X: a\tb", "X: \xe9",
                                      "x!#$%&'*+-.^_`|~9: 1", "X: %0d%0aY: 1");
    const int status = GENERATE(200, 299, 404, 500, 599);
    const auto start = "HTTP/1.1 " + std::to_string(status) + " Odd\r\n" + line + "\r\n";
    REQUIRE(requireAnswered(start + kLength, End::Keeps).status == status);
    REQUIRE(requireAnswered(start + "\r\nabc", End::Closes).status == status);
    REQUIRE(requireAnswered(start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                            End::Keeps)
                    .status
            == status);
    REQUIRE(requireAnswered("HTTP/1.1 103 Hints\r\n\r\n" + start + kLength, End::Keeps).status
            == status);
}

TEST_CASE("broken answer: values are passed on as they are")
{
    const auto reply = requireAnswered(kOk + "X: %0d%0aY: 1\r\n" + kLength, End::Keeps);
    REQUIRE(reply.headers == HeaderList{{"X", "%0d%0aY: 1"}});
}

TEST_CASE("broken answer: the platform's answers are read as strictly")
{
    const std::string body = "{\"index\":1,\"instances\":[]}";
    const auto framing = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string head
            = GENERATE(as<std::string>{}, "HTTP/1.1 000 Odd\r\n", "HTTP/1.1 600 Odd\r\n",
                       "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1\r\n",
                       "HTTP/1.1 200 OK\r\nX\x01: 1\r\n", "HTTP/1.1 200 OK\r\nX\r\n");
    for (const bool isByteByByte : {false, true}) {
        CAPTURE(head, isByteByByte);
        BrokenServer server{head + framing, End::Keeps, isByteByByte};
        const LinkPolicy policy;
        MetricsRegistry metrics;
        PlatformClient client{Address{"127.0.0.61", kPort}, policy, metrics};
        const auto list = client.readInstances(0, Millis{0});
        REQUIRE(!list);
        REQUIRE(list.error().code == PlatformErrorCode::Malformed);
        REQUIRE(metrics.exposition().find("answers_rejected_total{from=\"source\"")
                != std::string::npos);
    }
    BrokenServer server{kOk + "X: 1\r\n" + framing, End::Keeps, false};
    const LinkPolicy policy;
    MetricsRegistry metrics;
    PlatformClient client{Address{"127.0.0.61", kPort}, policy, metrics};
    REQUIRE(client.readInstances(0, Millis{0}));
}
