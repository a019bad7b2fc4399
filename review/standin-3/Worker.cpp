#include "Worker.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace review {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusConflict = 409;
    constexpr int statusMisdirected = 421;
    constexpr int64_t maxHoldMs = 1000;
    constexpr int64_t maxWaitMs = 2000;
    constexpr int64_t heartbeatIntervalMs = 1500;
    constexpr int64_t heartbeatTimeoutMs = 1000;
    constexpr int64_t tickMs = 2;
    constexpr size_t maxListedEnds = 500;
    constexpr int64_t clockLeadMs = 5000;

    uint64_t wallMs()
    {
        const auto time = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

    int64_t workOf(const std::string& specification)
    {
        const size_t space = specification.rfind(' ');
        return space == std::string::npos ? 1 : std::max<int64_t>(std::stoll(specification.substr(space + 1)), 1);
    }

} // namespace

Worker::Worker(WorkerOptions options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
{
    m_server = std::make_unique<Server>(m_options.listen, [this](const Message& it) { return handle(it); });
    m_progress = std::thread([this] { progress(); });
    m_beats = std::thread([this] { beat(); });
}

Worker::~Worker()
{
    crash();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_finished = true;
    }
    m_changed.notify_all();
    m_progress.join();
    m_beats.join();
}

bool Worker::start(const std::string& kind)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_kind = kind;
        m_id = "i-" + m_options.name + "-" + std::to_string(++m_lives);
        m_born = std::max(wallMs(), m_born + 1);
        m_sequence = 0;
        m_startedMs = nowMs();
        m_fence = 0;
        m_leaseMs = 0;
        m_lastEnd = 0;
        m_runs.clear();
        m_ended.clear();
        m_numbers.clear();
        m_alive = true;
        m_record.write(m_id + " begins, kind " + m_kind);
    }
    const bool opened = m_server->open();
    m_changed.notify_all();
    return opened;
}

void Worker::crash()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_alive)
            return;
        m_alive = false;
        m_runs.clear();
        m_record.write(m_id + " crashes");
    }
    m_changed.notify_all();
    m_server->close();
}

int64_t Worker::clockMs() const { return nowMs() - m_startedMs + clockLeadMs; }

Reply Worker::answer(int status, json body) const
{
    body["clockMs"] = clockMs();
    body["born"] = m_born;
    return { status, body.dump() };
}

Reply Worker::refuse(const std::string& reason) const { return answer(statusConflict, { { "reason", reason } }); }

Reply Worker::handle(const Message& request)
{
    const json body = json::parse(request.body, nullptr, false);
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!m_alive)
        return { 0, "" };
    if (!body.is_object())
        return answer(statusBadRequest, json::object());
    const std::string instance = request.header("x-expected-instance");
    if (!instance.empty() && instance != m_id)
        return answer(statusMisdirected, json::object());
    const uint64_t fence = body.value("fencingToken", uint64_t { 0 });
    if (fence < m_fence)
        return refuse("fence");
    m_fence = fence;
    if (request.path == "/v1/run-start")
        return startRun(body);
    if (request.path == "/v1/run-stop")
        return stopRun(body);
    if (request.path == "/v1/hold")
        return hold(body, lock);
    return answer(statusBadRequest, json::object());
}

void Worker::extendLease(const json& body)
{
    if (body.contains("deadlineMs"))
        m_leaseMs = std::max(m_leaseMs, std::min(body.value("deadlineMs", int64_t { 0 }), clockMs() + maxHoldMs));
}

Reply Worker::startRun(const json& body)
{
    const std::string task = body.value("task", "");
    const uint64_t run = body.value("run", uint64_t { 0 });
    const auto there = std::find_if(m_runs.begin(), m_runs.end(), [&](const Run& it) { return it.task == task; });
    if (there != m_runs.end() && there->number == run)
        return answer(statusOk, json::object());
    if (body.value("deadlineMs", int64_t { 0 }) <= clockMs())
        return refuse("late");
    extendLease(body);
    if (there != m_runs.end() || run <= m_numbers[task])
        return refuse("old");
    const int64_t now = nowMs();
    m_runs.push_back({ task, run, now + workOf(body.value("specification", "")), now });
    recordRun(m_id + " (" + m_kind + ") starts " + task + " run " + std::to_string(run), "started");
    return answer(statusOk, json::object());
}

Reply Worker::stopRun(const json& body)
{
    const std::string task = body.value("task", "");
    const uint64_t run = body.value("run", uint64_t { 0 });
    m_numbers[task] = std::max(m_numbers[task], run);
    const auto it
        = std::find_if(m_runs.begin(), m_runs.end(), [&](const Run& at) { return at.task == task && at.number == run; });
    if (it != m_runs.end())
        end(it, "stopped");
    return answer(statusOk, json::object());
}

Reply Worker::hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    const uint64_t acknowledged = body.value("ackCursor", uint64_t { 0 });
    std::erase_if(m_ended, [&](const Ended& it) { return it.number <= acknowledged; });
    extendLease(body);
    const int64_t until = nowMs() + std::min(body.value("waitMs", int64_t { 0 }), maxWaitMs);
    const uint64_t life = m_lives;
    while (m_alive && life == m_lives && m_ended.empty() && nowMs() < until)
        m_changed.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
    if (!m_alive || life != m_lives)
        return { 0, "" };
    json running = json::array();
    for (const auto& it : m_runs) {
        const int64_t work = std::max<int64_t>(it.dueMs - it.startedMs, 1);
        running.push_back({ it.task, it.number, "", 100 * (nowMs() - it.startedMs) / work, 0 });
    }
    json ended = json::array();
    for (const auto& it : m_ended)
        if (ended.size() < maxListedEnds)
            ended.push_back({ it.number, it.task, it.run, it.how, "" });
    return answer(statusOk, { { "running", running }, { "finished", ended } });
}

void Worker::end(std::list<Run>::iterator run, const std::string& how)
{
    recordRun(m_id + " ends " + run->task + " run " + std::to_string(run->number) + " " + how, how);
    m_numbers[run->task] = std::max(m_numbers[run->task], run->number);
    m_ended.push_back({ ++m_lastEnd, run->task, run->number, how });
    m_runs.erase(run);
    m_changed.notify_all();
}

void Worker::recordRun(const std::string& line, const std::string& kind)
{
    if (m_options.recordsRuns)
        m_record.write(line);
    else
        ++m_counts[kind];
}

void Worker::progress()
{
    constexpr int64_t summaryMs = 1000;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_finished) {
        if (!m_counts.empty() && nowMs() >= m_summaryDueMs) {
            std::string line = m_id + " runs:";
            for (const auto& it : m_counts)
                line += " " + it.first + " " + std::to_string(it.second);
            m_record.write(line);
            m_counts.clear();
            m_summaryDueMs = nowMs() + summaryMs;
        }
        for (auto it = m_runs.begin(); it != m_runs.end();) {
            const auto next = std::next(it);
            if (clockMs() > m_leaseMs)
                end(it, "lapsed");
            else if (nowMs() >= it->dueMs)
                end(it, "done");
            it = next;
        }
        lock.unlock();
        sleepMs(tickMs);
        lock.lock();
    }
}

// At once when a life begins, then at intervals.
void Worker::beat()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_finished) {
        if (!m_alive) {
            m_changed.wait(lock);
            continue;
        }
        const uint64_t life = m_lives;
        const json body { { "service", m_options.service }, { "address", m_options.listen.text() }, { "zone", m_options.zone },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
            { "capacity", { { "cpu", m_options.cpu }, { "memoryRequestMb", m_options.memoryMb }, { "gpu", 0 } } },
            { "labels", { m_kind, m_options.rack } }, { "born", m_born }, { "clockMs", clockMs() },
            { "sequence", ++m_sequence } };
        const std::string path = "/v1/instances/" + m_id;
        lock.unlock();
        const Reply reply = call(m_options.agent, "PUT", path, "", body.dump(), heartbeatTimeoutMs);
        lock.lock();
        const int64_t until = nowMs() + (reply.status == statusOk ? heartbeatIntervalMs : heartbeatIntervalMs / 10);
        while (!m_finished && m_alive && life == m_lives && nowMs() < until)
            m_changed.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
    }
}

} // namespace review
