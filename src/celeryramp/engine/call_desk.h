#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/random.h"
#include "engine/backend_gate.h"
#include "engine/fleet_talk.h"
#include "http/caller_connection.h"
#include "links/peer_links.h"
#include "proxy/answer_sizes.h"
#include "proxy/call_course.h"
#include "proxy/fleet_limiter.h"
#include "proxy/server_picker.h"
#include "proxy/split_chooser.h"
#include "routing/retry_budget.h"

namespace celeryramp::engine {

/*! @brief The parts of a node that a call meets on its way. */
struct CallSurroundings
{
    const EngineSettings &settings;
    const proxy::Dialect &dialect;
    directory::Replica &replica;
    links::PeerLinks &peers;
    BackendGate &gate;
    FleetTalk &talk;
    proxy::FleetLimiter &limiter;
    proxy::CrashRegistry &crashes;
    MetricsRegistry &metrics;
};

/*!
 * @brief Takes the requests of callers on their way: identify, admit, choose, hand to a gate,
 * repeat where that is safe, answer.
 */
class CallDesk final : public http::CallerEvents, private proxy::CandidateSource
{
public:
    CallDesk(boost::asio::io_context &context, CallSurroundings around, std::uint64_t seed);

    void onRequest(const http::CallerConnectionPtr &connection, http::Request request) override;
    void onBadRequest(int status) override;
    void onClosed(const http::CallerConnectionPtr &connection) override;
    [[nodiscard]] http::RequestBounds requestBounds() const override;

    /*! @brief A connection of a caller was accepted. */
    void accept(boost::asio::ip::tcp::socket socket, TimePoint now);
    /*! @brief A peer's gate replied. */
    void onReply(const Address &peer, const proxy::ReplyFrame &reply, TimePoint now);
    /*! @brief The link to a peer is gone. @param wasOpen False: nothing on it was sent. */
    void onLinkLost(const Address &peer, bool wasOpen, TimePoint now);
    /*! @brief A peer takes no new calls. */
    void onLeaving(const Address &peer, TimePoint now);
    /*! @return True while a reply of this peer is awaited. */
    [[nodiscard]] bool isAwaiting(const Address &peer) const;

    void sweep(TimePoint now);
    /*! @brief Kept connections are told to end. */
    void leave();
    /*! @brief Ends connections without a request. */
    void closeIdle();
    [[nodiscard]] bool isIdle() const noexcept { return m_calls.empty(); }
    [[nodiscard]] std::size_t connections() const noexcept { return m_connections.size(); }

private:
    struct Call
    {
        std::uint64_t id = 0;
        http::CallerConnectionPtr connection;
        directory::DirectoryPtr view;
        const directory::Route *route = nullptr;
        proxy::CallFrame frame;
        proxy::CallCourse course;
        TimePoint arrived;
        Address peer; /*!< Whose gate is asked now; without host when it is the own one. */
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void refuseUnstarted(const http::CallerConnectionPtr &connection, const std::string &requestId,
                         int status, proxy::Reason reason, std::optional<Millis> retryAfter,
                         const std::string &account = {}, const std::string &detail = {});
    void ask(Call &call, const proxy::AskStep &step, TimePoint now);
    void onGateReply(std::uint64_t id, const proxy::ReplyFrame &reply, TimePoint now);
    [[nodiscard]] std::vector<proxy::Candidate> candidates(const std::string &service,
                                                           const std::set<std::string> &asked,
                                                           TimePoint now) const override;
    /*! @brief Takes the next step of a call. @param reply Whose answer is passed on. */
    void follow(Call &call, const proxy::CallStep &step, const proxy::ReplyFrame *reply,
                TimePoint now);
    [[nodiscard]] proxy::CourseTools tools() { return {m_picker, m_retries, *this}; }
    void answer(Call &call, const http::Answer &answer, proxy::Reason reason, TimePoint now);
    void giveUp(Call &call, const proxy::GiveUpStep &step, TimePoint now);
    void onTimeout(std::uint64_t id);
    void cancelAtGate(Call &call, TimePoint now);

    boost::asio::io_context &m_context;
    CallSurroundings m_around;
    proxy::SplitChooser m_splits;
    proxy::ServerPicker m_picker;
    proxy::AnswerSizes m_answerSizes;
    RetryBudget m_retries;
    RandomEngine m_random;
    std::map<std::uint64_t, Call> m_calls;
    std::map<const http::CallerConnection *, std::uint64_t> m_byConnection;
    std::set<http::CallerConnectionPtr> m_connections;
    std::map<std::string, TimePoint> m_leaving; /*!< Nodes that take no new calls, by host. */
    std::uint64_t m_nextId = 1;
    bool m_isLeaving = false;
};

} // namespace celeryramp::engine
