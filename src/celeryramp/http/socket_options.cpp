#include "http/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "observe/log.h"

namespace celeryramp::http {

namespace internal {

void setOption(int fd, int level, int option, int value, const char *name)
{
    if (setsockopt(fd, level, option, &value, sizeof value) != 0) {
        logEvent(LogLevel::Warn, "socket", "option-refused", {{"option", name}});
    }
}

} // namespace internal

void applySocketOptions(boost::asio::ip::tcp::socket &socket)
{
    const int fd = socket.native_handle();
    internal::setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1, "TCP_NODELAY");
    internal::setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1, "SO_KEEPALIVE");
    internal::setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds, "TCP_KEEPIDLE");
    internal::setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds, "TCP_KEEPINTVL");
    internal::setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes, "TCP_KEEPCNT");
    internal::setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUserTimeout.count()),
                        "TCP_USER_TIMEOUT");
}

} // namespace celeryramp::http
