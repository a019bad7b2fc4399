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
    constexpr Duration defaultRun = std::chrono::milliseconds(50);
    constexpr Duration never = std::chrono::hours(24);
    constexpr int slowFactor = 10;
    constexpr int statusFailed = 500;
    constexpr int statusRefused = 503;
    constexpr std::string_view tasksPrefix = "/v1/tasks/";
    constexpr std::string_view runKey = "run_ms=";

    Duration runTime(const std::string& input)
    {
        const size_t at = input.find(runKey);
        if (at == std::string::npos)
            return defaultRun;
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
        m_finished = true;
        for (const auto& it : m_running)
            it.second.respond(http::Response { 0, "" });
        m_running.clear();
    }
    m_changed.notify_all();
    for (std::thread* it : { &m_ends, &m_announcements })
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
    m_ends = std::thread([this] { serveEnds(); });
    m_announcements = std::thread([this] { serveAnnouncements(); });
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
        m_changed.notify_all();
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
        run = never;
    const std::string output = request.path.substr(tasksPrefix.size()) + ":" + contentDigest(request.body);
    m_running.emplace(request.path, Running { monotonicNow() + run, request.incarnation, output, respond });
    m_mostRunning = std::max(m_mostRunning, m_running.size());
    m_changed.notify_all();
}

http::Response Upstream::startCounts()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    uint64_t doubled = 0;
    json twice = json::array();
    for (const auto& it : m_starts) {
        if (it.second < 2)
            continue;
        doubled += it.second - 1;
        twice.push_back(it.first);
    }
    const json body = { { "starts", m_startCount }, { "distinct", m_starts.size() }, { "doubled", doubled }, { "twice", twice },
        { "running", m_running.size() }, { "most_running", m_mostRunning } };
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

void Upstream::serveEnds()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_finished) {
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
        m_changed.wait_until(lock, next);
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

void Upstream::serveAnnouncements()
{
    http::Client client;
    bool announced = false;
    while (true) {
        http::ClientRequest request;
        request.method = "PUT";
        request.url = "http://" + m_settings.agent.text() + "/v1/upstream";
        request.body = announcement();
        request.timeout = announceTimeout;
        const bool succeeded = client.call(request).has_value();
        if (succeeded != announced)
            logging::Event(logging::Level::Info, "announce").with("upstream", m_settings.name).with("reached", succeeded ? 1 : 0);
        announced = succeeded;
        std::unique_lock<std::mutex> lock(m_mutex);
        const bool leaving = m_leaving;
        // A change of mind is announced at once; otherwise at the interval, and soon again while the agent is not there.
        m_changed.wait_for(
            lock, announced ? announceInterval : announceInterval / 5, [&] { return m_finished || m_leaving != leaving; });
        if (m_finished)
            return;
    }
}

void Upstream::leave()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_leaving = true;
    m_changed.notify_all();
    m_changed.wait_for(lock, std::chrono::seconds(2), [] { return false; });
    while (!m_running.empty())
        m_changed.wait_for(lock, std::chrono::milliseconds(50));
}

} // namespace fescuegw::standin
