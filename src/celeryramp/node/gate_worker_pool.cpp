#include "node/gate_worker_pool.h"

#include <algorithm>
#include <array>

#include "core/hash.h"
#include "observe/log.h"
#include "observe/rejected_answer.h"
#include "transport/headers.h"

namespace celeryramp {

namespace internal {

constexpr Millis kQueuedPollInterval{20};
constexpr Millis kIdlePollInterval{1000};
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;

[[nodiscard]] std::uint64_t wallMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Millis>(now).count());
}

struct ReplyMapping
{
    BackendEnd end;
    Outcome outcome;
    Reason reason;
};

constexpr std::array<ReplyMapping, 5> kReplyMappings{
        {{BackendEnd::Answered, Outcome::Answered, Reason::None},
         {BackendEnd::NotConnected, Outcome::NotRun, Reason::Unreachable},
         {BackendEnd::TimedOut, Outcome::Unknown, Reason::NoAnswer},
         {BackendEnd::Broken, Outcome::Unknown, Reason::BadAnswer},
         {BackendEnd::Crashed, Outcome::Unknown, Reason::ServerLost}}};

[[nodiscard]] const ReplyMapping &replyMapping(BackendEnd end)
{
    return kReplyMappings[static_cast<std::size_t>(end)];
}

} // namespace internal

GateWorkerPool::GateWorkerPool(const NodeSettings &settings, const SharedValue<Snapshot> &snapshot,
                               const SharedValue<FleetView> &fleet, ContextTable &contexts,
                               MessageSender &sender, MetricsRegistry &metrics, OnCrash onCrash)
    : m_settings{settings}, m_snapshot{snapshot}, m_fleet{fleet},
      m_contexts{contexts}, m_sender{sender}, m_metrics{metrics}, m_onCrash{std::move(onCrash)},
      m_answered{metrics.counter("gate_answered_total")}, m_refused{metrics.counter(
                                                                  "gate_refused_total")},
      m_crashes{metrics.counter("gate_server_crashes_total")}, m_latency{metrics.latency(
                                                                       "gate_server_seconds")},
      m_gate{settings.server, settings.slots, settings.queueCapacity, settings.mechanisms},
      m_crashTracker{settings.server}
{ }

GateWorkerPool::~GateWorkerPool()
{
    stop();
}

void GateWorkerPool::start()
{
    for (int i = 0; i < m_settings.slots; ++i) {
        m_threads.emplace_back([this] { work(); });
    }
}

void GateWorkerPool::stop()
{
    {
        const std::lock_guard lock{m_mutex};
        m_stopping = true;
    }
    m_ready.notify_all();
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void GateWorkerPool::offer(CallMessage call, LinkId link, TimePoint now)
{
    const auto snapshot = m_snapshot.get();
    const auto fleet = m_fleet.get();
    const auto deadline = now + Millis{call.remainingMs};
    const auto dueAt = now + Millis{call.latencyMs};
    std::vector<Refusal> refusals;
    {
        const std::lock_guard lock{m_mutex};
        refusals = m_gate.offer({std::move(call), link, now, deadline, dueAt},
                                gateInputs(snapshot, fleet), now);
    }
    m_ready.notify_one();
    refuse(refusals);
}

void GateWorkerPool::cancel(std::uint64_t id, LinkId link)
{
    std::optional<QueuedCall> call;
    {
        const std::lock_guard lock{m_mutex};
        call = m_gate.cancel(id, link);
    }
    if (call) {
        refuse({{std::move(*call), Reason::TooLate}});
    }
}

void GateWorkerPool::drain()
{
    const std::lock_guard lock{m_mutex};
    m_gate.drain();
}

bool GateWorkerPool::isIdle() const
{
    const std::lock_guard lock{m_mutex};
    return m_gate.isIdle();
}

GateLoad GateWorkerPool::load() const
{
    const std::lock_guard lock{m_mutex};
    return m_gate.load();
}

GateCounters GateWorkerPool::counters() const
{
    const std::lock_guard lock{m_mutex};
    return m_gate.counters();
}

std::uint64_t GateWorkerPool::rampFalls() const
{
    const std::lock_guard lock{m_mutex};
    return m_gate.ramp().falls();
}

void GateWorkerPool::work()
{
    BackendClient client{m_settings.backend};
    while (true) {
        if (auto call = nextCall()) {
            run(*call, client);
            m_ready.notify_one();
            continue;
        }
        const std::lock_guard lock{m_mutex};
        if (m_stopping) {
            return;
        }
    }
}

std::optional<QueuedCall> GateWorkerPool::nextCall()
{
    std::vector<Refusal> refusals;
    std::optional<QueuedCall> call;
    {
        std::unique_lock lock{m_mutex};
        call = m_gate.next(gateInputs(m_snapshot.get(), m_fleet.get()), Clock::now(), refusals);
        if (!call && refusals.empty() && !m_stopping) {
            const bool isQueued = m_gate.load().queued > 0;
            m_ready.wait_for(
                    lock, isQueued ? internal::kQueuedPollInterval : internal::kIdlePollInterval);
            call = m_gate.next(gateInputs(m_snapshot.get(), m_fleet.get()), Clock::now(), refusals);
        }
    }
    refuse(refusals);
    return call;
}

void GateWorkerPool::run(const QueuedCall &call, BackendClient &client)
{
    const auto start = Clock::now();
    const auto remaining = std::max(Millis{1}, millisBetween(start, call.deadline));
    const auto token = m_contexts.open(
            {call.call.account, call.call.keyId, call.call.chain, call.call.depth, call.deadline});
    auto reply = client.call(call.call, {token, remaining});
    const auto nestedCalls = m_contexts.close(token);
    const auto end = Clock::now();
    // Excludes the time spent on nested calls, since it does not measure the server itself.
    const auto whole = std::chrono::duration_cast<Micros>(end - start);
    const auto latency = std::max(Micros{0}, whole - nestedCalls.nestedDuration);
    if (nestedCalls.nestedCallFailed && reply.status >= internal::kHttpServerError) {
        reply.headers.emplace_back(kRetriedHeader, "1");
    }
    if (reply.end == BackendEnd::TimedOut) {
        client.cancel(call.call.request);
    }
    if (reply.error != http::AnswerError::None) {
        recordRejectedAnswer(m_metrics,
                             {"server", call.call.request, m_settings.server,
                              http::answerErrorName(reply.error)});
    }
    if (reply.end == BackendEnd::Crashed) {
        reportCrash(call.call.digest);
    }
    const auto evidence = evidenceOf(call, reply, latency);
    m_latency.record(latency);
    auto answer = toAnswer(call, std::move(reply));
    {
        const std::lock_guard lock{m_mutex};
        if (answer.outcome == Outcome::Answered) {
            m_crashTracker.onAnswered(call.call.digest);
        }
        if (answer.reason == Reason::ServerLost || answer.reason == Reason::Unreachable) {
            m_gate.resetConcurrencyLimit(end);
        }
        m_gate.finished(evidence, latency, m_contexts.waiting(), end);
        answer.load = m_gate.load();
    }
    (answer.outcome == Outcome::NotRun ? m_refused : m_answered).add();
    m_sender.answer(call.replyPath, std::move(answer));
}

AnswerMessage GateWorkerPool::toAnswer(const QueuedCall &call, BackendReply reply) const
{
    const auto &entry = internal::replyMapping(reply.end);
    AnswerMessage answer;
    answer.id = call.call.id;
    answer.request = call.call.request;
    answer.outcome = entry.outcome;
    answer.reason = entry.reason;
    answer.status = reply.status;
    answer.headers = std::move(reply.headers);
    answer.body.data = std::move(reply.body);
    answer.bodyHash = stableHash(answer.body.data);
    return answer;
}

Evidence GateWorkerPool::evidenceOf(const QueuedCall &call, const BackendReply &reply,
                                    Micros latency)
{
    if (reply.end != BackendEnd::Answered) {
        return Evidence::Failed;
    }
    if (reply.status == internal::kHttpUnavailable) {
        return Evidence::Shed;
    }
    if (reply.status >= internal::kHttpServerError) {
        return Evidence::Failed;
    }
    return latency <= Millis{call.call.latencyMs} ? Evidence::InTarget : Evidence::Late;
}

void GateWorkerPool::refuse(const std::vector<Refusal> &refusals)
{
    for (const auto &refusal : refusals) {
        m_refused.add();
        AnswerMessage answer;
        answer.id = refusal.call.call.id;
        answer.request = refusal.call.call.request;
        answer.outcome = Outcome::NotRun;
        answer.reason = refusal.reason;
        answer.bodyHash = stableHash(std::string_view{});
        answer.load = load();
        m_sender.answer(refusal.call.replyPath, std::move(answer));
    }
}

void GateWorkerPool::reportCrash(const std::string &digest)
{
    m_crashes.add();
    std::vector<Rumour> rumours;
    {
        const std::lock_guard lock{m_mutex};
        rumours = m_crashTracker.onCrash({digest}, internal::wallMillis());
    }
    logEvent(LogLevel::Warn, "gate", "server-lost",
             {{"server", m_settings.server}, {"suspects", std::to_string(rumours.size())}});
    m_onCrash(std::move(rumours));
}

GateInputs GateWorkerPool::gateInputs(const SnapshotPtr &snapshot, const FleetViewPtr &fleet) const
{
    return {snapshot.get(), fleet->selfLeaving || fleet->superseded, &fleet->quarantined,
            m_contexts.waiting()};
}

} // namespace celeryramp
