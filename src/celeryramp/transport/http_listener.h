#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/address.h"
#include "core/result.h"
#include "core/time.h"
#include "wire/call_message.h"

namespace celeryramp {

/*! @brief A request as it came over HTTP. */
struct HttpRequest
{
    std::string method;
    std::string target; /*!< Path with query. */
    std::string path; /*!< Path without query. */
    HeaderList headers;
    std::string body;

    /*! @return Value of the first header of this name, or empty. */
    [[nodiscard]] std::string header(std::string_view name) const;

    /*! @return Value of a query parameter, or empty; values are not decoded. */
    [[nodiscard]] std::string query(std::string_view name) const;
};

/*! @brief An answer to go out over HTTP. */
struct HttpResponse
{
    int status = 200;
    HeaderList headers;
    std::string body;
    std::string contentType = "text/plain";
    bool closeConnection = false;
};

/*! @brief Settings of one listener. */
struct HttpListenerSettings
{
    Address address;
    std::size_t threads = 8; /*!< Connections served at a time. */
    std::size_t maxBodyBytes = 1024 * 1024;
    Millis readTimeout{5000}; /*!< For a slow caller, between two pieces of a request. */
    Millis keepAlive{5000}; /*!< Idle connections are closed after this. */
};

/*! @brief Why a listener cannot start. */
struct ListenError
{
    std::string reason;
};

/*! @brief Serves HTTP on one address with a bounded set of threads. */
class HttpListener
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    HttpListener(HttpListenerSettings settings, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /*! @brief Binds and starts to serve. */
    [[nodiscard]] Result<bool, ListenError> start();

    /*! @brief Takes no new connections, ends the idle ones and joins all threads. */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryramp
