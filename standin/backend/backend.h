#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "backend/backend_model.h"
#include "common/journal.h"
#include "core/address.h"
#include "transport/http_listener.h"

namespace standin {

/*! @brief Settings of a simulated backend server. */
struct BackendSettings
{
    std::string server;
    std::string zone;
    celeryramp::Address inside; /*!< Where its own calls go; port 0 when it makes none. */
    std::string journal; /*!< Path of the journal. */
    BackendModelSettings model;
};

/*!
 * @brief Stand-in of a backend server. Journals what it runs. Understands in the query:
 * `depth=N` calls on through its own node, `fail=1` answers 500, `leaf_fail=1` fails at the end of
 * a chain, `poison=1` ends the process, `garbage=1` answers with two lengths.
 */
class Backend
{
public:
    explicit Backend(BackendSettings settings);

    /*! @brief Answers one request, working on it for its time. */
    [[nodiscard]] celeryramp::HttpResponse serve(const celeryramp::HttpRequest &request);

private:
    [[nodiscard]] celeryramp::HttpResponse control(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse run(const celeryramp::HttpRequest &request);
    [[nodiscard]] celeryramp::HttpResponse callOn(const celeryramp::HttpRequest &request,
                                                  int depth) const;
    void note(const char *event, const celeryramp::HttpRequest &request, int running);

    BackendSettings m_settings;
    Journal m_journal;
    std::mutex m_mutex;
    BackendModel m_model;
    std::atomic<int> m_running{0};
    std::set<std::string> m_cancelled;
};

} // namespace standin
