#pragma once

#include <memory>
#include <string>

#include "core/address.h"
#include "core/time.h"
#include "http/answer_error.h"
#include "wire/call_message.h"

namespace celeryramp {

/*! @brief How a call to the backend server ended. */
enum class BackendEnd {
    Answered, /*!< A whole answer. */
    NotConnected, /*!< No connection could be made: the server saw nothing. */
    TimedOut, /*!< No whole answer before the deadline. */
    Broken, /*!< The connection ended without a whole answer, and the server is still alive. */
    Crashed /*!< The connection ended without a whole answer, and the server is gone. */
};

/*! @brief Answer of the backend server, or how it failed. */
struct BackendReply
{
    BackendEnd end = BackendEnd::NotConnected;
    int status = 0;
    HeaderList headers;
    std::string body;
    http::AnswerError error = http::AnswerError::None; /*!< Why a received answer is not used. */
};

/*! @brief What travels with a call to the backend server besides the caller's own request. */
struct BackendCallInfo
{
    std::string contextToken;
    Millis remaining{0};
};

/*! @brief Calls one backend server over kept connections; used by one thread. */
class BackendClient
{
public:
    explicit BackendClient(const Address &address);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /*! @brief Hands a call over and waits for the answer, at most until the deadline. */
    [[nodiscard]] BackendReply call(const CallMessage &call, const BackendCallInfo &info);

    /*! @brief Tells the server that nobody waits for a request any more. */
    void cancel(const std::string &request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryramp
