#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "transport/backend_client.h"

using namespace celeryramp;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t kPort = 17851;
constexpr Millis kLinger{120};

/*! Server that receives one request and then ends its sockets as `end` does, on its own thread. */
class OneShotServer
{
public:
    using End = std::function<void(tcp::acceptor &, tcp::socket &)>;

    explicit OneShotServer(End end)
        : m_acceptor{m_context, tcp::endpoint{boost::asio::ip::make_address("127.0.0.61"), kPort}},
          m_thread{[this, end = std::move(end)] {
              tcp::socket socket{m_context};
              m_acceptor.accept(socket);
              std::array<char, 4096> input{};
              boost::system::error_code ignored;
              socket.read_some(boost::asio::buffer(input), ignored);
              end(m_acceptor, socket);
          }}
    { }

    ~OneShotServer() { m_thread.join(); }

private:
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

BackendEnd callAndEnd(const OneShotServer::End &end)
{
    OneShotServer server{end};
    BackendClient client{Address{"127.0.0.61", kPort}};
    CallMessage call;
    call.method = "POST";
    call.target = "/";
    call.request = "r1";
    return client.call(call, {"", Millis{3000}}).end;
}

} // namespace

TEST_CASE("dying server: the listening socket closes before the connection")
{
    REQUIRE(callAndEnd([](tcp::acceptor &acceptor, tcp::socket &socket) {
                acceptor.close();
                std::this_thread::sleep_for(kLinger);
                socket.close();
            })
            == BackendEnd::Crashed);
}

TEST_CASE("dying server: the connection closes before the listening socket")
{
    REQUIRE(callAndEnd([](tcp::acceptor &acceptor, tcp::socket &socket) {
                socket.close();
                std::this_thread::sleep_for(kLinger); // the probe connects meanwhile and is reset
                acceptor.close();
            })
            == BackendEnd::Crashed);
}

TEST_CASE("dying server: a server that answers its health check has only broken off")
{
    REQUIRE(callAndEnd([](tcp::acceptor &acceptor, tcp::socket &socket) {
                socket.close();
                tcp::socket probe{acceptor.get_executor()};
                acceptor.accept(probe);
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                boost::asio::write(probe, boost::asio::buffer(answer));
                std::this_thread::sleep_for(kLinger);
            })
            == BackendEnd::Broken);
}

// Guards against answers that break off in their head and count as whole ones with an empty body.
TEST_CASE("dying server: a head that breaks off is no answer")
{
    const std::string head = "HTTP/1.1 200 OK\r\nServer: s1\r\nContent-Length: 2\r\n";
    const auto cut = GENERATE(std::size_t{5}, std::size_t{12}, std::size_t{15}, std::size_t{17},
                              std::size_t{22}, std::size_t{29}, std::size_t{40}, std::size_t{48});
    CAPTURE(cut);
    REQUIRE(callAndEnd([&head, cut](tcp::acceptor &acceptor, tcp::socket &socket) {
                boost::system::error_code ignored;
                boost::asio::write(socket, boost::asio::buffer(head.data(), cut), ignored);
                acceptor.close();
                socket.close();
            })
            == BackendEnd::Crashed);
}
