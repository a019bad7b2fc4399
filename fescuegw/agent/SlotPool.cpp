// Runs tasks on the upstream over HTTP.
#include <utility>

#include "fescuegw/agent/AgentServer.h"

namespace fescuegw::agent {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    constexpr Duration stopTimeout = std::chrono::seconds(5);

    std::string taskUrl(const settings::Address& upstream, const SubmissionKey& key, uint32_t index)
    {
        return "http://" + upstream.text() + "/v1/tasks/" + key.team + "/" + key.id + "/" + std::to_string(index);
    }

} // namespace

SlotPool::SlotPool(uint64_t incarnation, trace::Recorder& recorder, EndHook onEnd)
    : m_incarnation(incarnation)
    , m_recorder(recorder)
    , m_onEnd(std::move(onEnd))
{
    m_threads.emplace_back([this] { sendStops(); });
}

SlotPool::~SlotPool()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto& it : m_threads)
        it.join();
}

void SlotPool::grow(uint32_t count)
{
    // One thread in addition to the slots sends the stop requests.
    while (m_threads.size() < count + 1)
        m_threads.emplace_back([this] { processQueue(); });
}

void SlotPool::start(const settings::Address& upstream, const wire::TaskDispatch& task)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_queue.push_back(QueuedTask { upstream, task });
    }
    m_changed.notify_all();
}

void SlotPool::stop(const settings::Address& upstream, const TaskId& id)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopUrls.push_back(taskUrl(upstream, id.submission, id.index));
    }
    m_changed.notify_all();
}

void SlotPool::processQueue()
{
    http::Client client;
    while (true) {
        QueuedTask work;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
            if (m_stopping)
                return;
            work = std::move(m_queue.front());
            m_queue.pop_front();
        }
        runTask(client, work);
    }
}

void SlotPool::sendStops()
{
    http::Client client;
    while (true) {
        http::ClientRequest request;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait(lock, [this] { return m_stopping || !m_stopUrls.empty(); });
            if (m_stopping)
                return;
            request.url = m_stopUrls.front();
            m_stopUrls.pop_front();
        }
        request.method = "DELETE";
        request.timeout = stopTimeout;
        // If the stop request fails, the task keeps running and its slot stays in use until it ends.
        (void)client.call(request);
    }
}

void SlotPool::runTask(http::Client& client, const QueuedTask& work)
{
    const TaskId id { { work.task.key().team(), work.task.key().submission() }, work.task.key().index() };
    const trace::Context parent = trace::parse(work.task.traceparent());
    const trace::Context span = trace::child(parent);
    const uint64_t startUs = trace::wallClockUs();
    const TimePoint started = monotonicNow();
    http::ClientRequest request;
    request.method = "POST";
    request.url = taskUrl(work.upstream, id.submission, id.index);
    request.body = work.task.input();
    request.timeout = std::chrono::milliseconds(work.task.run_limit_ms());
    request.headers = { "X-Attempt: " + std::to_string(work.task.attempt()),
        "X-Agent-Incarnation: " + std::to_string(m_incarnation), "traceparent: " + trace::format(span) };
    auto response = client.call(request);
    const auto runUs = static_cast<uint64_t>((monotonicNow() - started).count());
    const bool succeeded = response && response->status == statusOk;
    m_recorder.record(parent, span, "upstream", startUs, trace::wallClockUs(), succeeded);
    if (!response) {
        if (response.error().verdict == Verdict::MayHaveRun)
            stop(work.upstream, id);
        m_onEnd(id, false, response.error().verdict, "upstream: " + response.error().detail, "", runUs);
        return;
    }
    if (succeeded) {
        m_onEnd(id, true, Verdict::Ran, "", std::move(response->body), runUs);
        return;
    }
    // Status 503 guarantees that the upstream did not start the task.
    const Verdict verdict = response->status == statusUnavailable ? Verdict::NotRun : Verdict::Ran;
    m_onEnd(id, false, verdict, "upstream: status " + std::to_string(response->status), "", runUs);
}

} // namespace fescuegw::agent
