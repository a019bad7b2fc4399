#include "fescuegw/standin/Standin.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "fescuegw/logging/Log.h"

namespace fescuegw::standin {

using nlohmann::json;

namespace {

    constexpr Duration announceInterval = std::chrono::milliseconds(500);
    constexpr Duration announceTimeout = std::chrono::milliseconds(1000);
    constexpr Duration defaultRunTime = std::chrono::milliseconds(50);
    constexpr Duration hangTime = std::chrono::hours(24);
    constexpr int slowFactor = 10;
    constexpr int statusFailed = 500;
    constexpr int statusRefused = 503;
    constexpr std::string_view tasksPrefix = "/v1/tasks/";
    constexpr std::string_view runKey = "run_ms=";

    Duration runTime(const std::string& input)
    {
        const size_t at = input.find(runKey);
        if (at == std::string::npos)
            return defaultRunTime;
        uint64_t n = 0;
        std::from_chars(input.data() + at + runKey.size(), input.data() + input.size(), n);
        return std::chrono::milliseconds(n);
    }

} // namespace

Upstream::Upstream(UpstreamSettings settings)
    : m_settings(std::move(settings))
    , m_instance(std::to_string(randomIdentity()))
{
}

Upstream::~Upstream()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        for (const auto& it : m_running)
            it.second.respond(http::Response { 0, "" });
        m_running.clear();
    }
    m_condition.notify_all();
    for (std::thread* it : { &m_completionThread, &m_announcementThread })
        if (it->joinable())
            it->join();
    m_http.reset();
}

Result<void> Upstream::start()
{
    http::ServerOptions options;
    options.listen = m_settings.listen;
    options.threads = 1;
    options.connectionLimit = 256;
    m_http = std::make_unique<http::Server>(
        options, [this](const http::Request& request, const http::Responder& respond) { handle(request, respond); });
    if (auto started = m_http->start(); !started)
        return started;
    m_completionThread = std::thread([this] { completeTasks(); });
    m_announcementThread = std::thread([this] { runAnnouncements(); });
    return {};
}

void Upstream::handle(const http::Request& request, const http::Responder& respond)
{
    if (request.path.starts_with(tasksPrefix)) {
        handleTask(request, respond);
        return;
    }
    if (request.path == "/v1/starts") {
        respond(startCounts());
        return;
    }
    if (request.path == "/v1/fault" && request.method == "PUT") {
        const bool known = setFault(request.body);
        respond(known ? http::Response { 200, "{}" } : http::problem({ Verdict::NotRun, 400, "unknown fault" }));
        return;
    }
    respond(http::problem({ Verdict::NotRun, 404, "unknown path" }));
}

void Upstream::handleTask(const http::Request& request, const http::Responder& respond)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (request.method == "DELETE") {
        const auto range = m_running.equal_range(request.path);
        for (auto it = range.first; it != range.second; ++it)
            it->second.respond(http::Response { statusFailed, "stopped", "text/plain" });
        m_running.erase(range.first, range.second);
        m_condition.notify_all();
        respond(http::Response { 200, "{}" });
        return;
    }
    if (m_fault == Fault::Refuse) {
        respond(http::Response { statusRefused, "refused", "text/plain" });
        return;
    }
    ++m_starts[request.path];
    ++m_startCount;
    if (m_fault == Fault::Fail) {
        respond(http::Response { statusFailed, "failed", "text/plain" });
        return;
    }
    if (m_fault == Fault::Close) {
        respond(http::Response { 0, "" });
        return;
    }
    Duration run = runTime(request.body);
    if (m_fault == Fault::Slow)
        run *= slowFactor;
    if (m_fault == Fault::Hang)
        run = hangTime;
    const std::string output = request.path.substr(tasksPrefix.size()) + ":" + contentDigest(request.body);
    m_running.emplace(request.path, RunningTask { monotonicNow() + run, request.incarnation, output, respond });
    m_maxRunning = std::max(m_maxRunning, m_running.size());
    m_condition.notify_all();
}

http::Response Upstream::startCounts()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    uint64_t repeatedStarts = 0;
    json startedTwice = json::array();
    for (const auto& it : m_starts) {
        if (it.second < 2)
            continue;
        repeatedStarts += it.second - 1;
        startedTwice.push_back(it.first);
    }
    const json body = { { "starts", m_startCount }, { "distinct", m_starts.size() }, { "doubled", repeatedStarts },
        { "twice", startedTwice }, { "running", m_running.size() }, { "most_running", m_maxRunning } };
    return http::Response { 200, body.dump() };
}

bool Upstream::setFault(const std::string& name)
{
    static const std::map<std::string, Fault> faults { { "none", Fault::None }, { "slow", Fault::Slow }, { "fail", Fault::Fail },
        { "hang", Fault::Hang }, { "close", Fault::Close }, { "refuse", Fault::Refuse } };
    const auto it = faults.find(name);
    if (it == faults.end())
        return false;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fault = it->second;
    return true;
}

void Upstream::completeTasks()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        const TimePoint now = monotonicNow();
        TimePoint next = now + std::chrono::seconds(1);
        for (auto it = m_running.begin(); it != m_running.end();) {
            if (it->second.due <= now) {
                it->second.respond(http::Response { 200, it->second.output, "text/plain" });
                it = m_running.erase(it);
                continue;
            }
            next = std::min(next, it->second.due);
            ++it;
        }
        m_condition.wait_until(lock, next);
    }
}

std::string Upstream::announcement()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    json running = json::array();
    for (const auto& it : m_running)
        running.push_back({ { "task", it.first.substr(tasksPrefix.size()) }, { "incarnation", it.second.incarnation } });
    const json body = { { "service", m_settings.service }, { "address", m_settings.listen.text() }, { "instance", m_instance },
        { "leaving", m_leaving }, { "slots", m_settings.slots }, { "cores", m_settings.cores },
        { "memory_mb", m_settings.memoryMb }, { "running", running } };
    return body.dump();
}

void Upstream::runAnnouncements()
{
    http::Client client;
    bool wasReached = false;
    while (true) {
        http::ClientRequest request;
        request.method = "PUT";
        request.url = "http://" + m_settings.agent.text() + "/v1/upstream";
        request.body = announcement();
        request.timeout = announceTimeout;
        const bool reached = client.call(request).has_value();
        if (reached != wasReached)
            logging::Event(logging::Level::Info, "announce").with("upstream", m_settings.name).with("reached", reached ? 1 : 0);
        wasReached = reached;
        std::unique_lock<std::mutex> lock(m_mutex);
        const bool leaving = m_leaving;
        // A change of the leaving state is announced immediately, otherwise once per interval. While the agent is unreachable,
        // the announcement is retried five times as often.
        m_condition.wait_for(
            lock, wasReached ? announceInterval : announceInterval / 5, [&] { return m_stopping || m_leaving != leaving; });
        if (m_stopping)
            return;
    }
}

void Upstream::leave()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_leaving = true;
    m_condition.notify_all();
    m_condition.wait_for(lock, std::chrono::seconds(2), [] { return false; });
    while (!m_running.empty())
        m_condition.wait_for(lock, std::chrono::milliseconds(50));
}

} // namespace fescuegw::standin
