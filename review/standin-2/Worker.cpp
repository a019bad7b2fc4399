// fescuegw-review-worker NAME SERVICE LISTEN_IP:PORT AGENT_IP:PORT: a worker of the platform.
//
// Starts what it is told to start, whatever room it has. A task works for the milliseconds after "work=" in its specification
// and ends as done. Prints a line for each start and end: Unix milliseconds, the worker, what happened, the task and the run.
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Bounds of the site.
constexpr uint64_t maxHoldMs = 1000;
constexpr milliseconds heartbeatInterval { 1500 };
constexpr milliseconds heartbeatRetryInterval { 200 };
constexpr milliseconds heartbeatTimeout { 1000 };
constexpr milliseconds tickInterval { 1 };
constexpr uint64_t maxWaitMs = 2000;
constexpr size_t maxListedEnds = 500;
constexpr int backlog = 64;

uint64_t unixMs()
{
    return static_cast<uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

sockaddr_in toSocketAddress(const std::string& address)
{
    const size_t colon = address.rfind(':');
    sockaddr_in it {};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &it.sin_addr);
    return it;
}

struct Request {
    std::string method;
    std::string path;
    std::string expectedInstance;
    std::string body;
};

struct Answer {
    int status = 200;
    json body = json::object();
};

struct Run {
    std::string task;
    uint64_t number = 0;
    Clock::time_point started;
    milliseconds work {};
};

struct End {
    uint64_t number = 0;
    std::string task;
    uint64_t run = 0;
    std::string how;
};

class Worker {
public:
    Worker(std::string name, std::string service, std::string listen)
        : m_name(std::move(name))
        , m_service(std::move(service))
        , m_listen(std::move(listen))
        , m_bornMs(unixMs())
        , m_started(Clock::now())
    {
    }

    const std::string& name() const { return m_name; }

    // Ends runs that are complete or whose lease is over.
    void runTime()
    {
        while (true) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                const Clock::time_point now = Clock::now();
                for (auto it = m_runs.begin(); it != m_runs.end();) {
                    const auto run = it++;
                    if (now - run->started >= run->work)
                        end(run, "done");
                    else if (clockMs(now) >= m_leaseMs)
                        end(run, "lapsed");
                }
            }
            std::this_thread::sleep_for(tickInterval);
        }
    }

    Answer answer(const Request& request)
    {
        const json body = json::parse(request.body, nullptr, false);
        std::unique_lock<std::mutex> lock(m_mutex);
        Answer answer;
        if (request.method == "GET")
            return answer;
        const uint64_t fence = body.is_object() ? body.value("fencingToken", uint64_t { 0 }) : 0;
        if (!body.is_object())
            answer.status = 400;
        else if (!request.expectedInstance.empty() && request.expectedInstance != m_name)
            answer.status = 421;
        else if (fence < m_fence)
            answer = { 409, { { "reason", "fence" } } };
        else {
            m_fence = fence;
            if (request.path == "/v1/run-start")
                answer = start(body);
            else if (request.path == "/v1/run-stop")
                stop(body);
            else if (request.path == "/v1/hold")
                answer = hold(lock, body);
            else
                answer.status = 404;
        }
        answer.body["clockMs"] = clockMs(Clock::now());
        return answer;
    }

    json heartbeat()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return { { "service", m_service }, { "address", m_listen }, { "zone", "biei" }, { "version", "v1" }, { "slots", 8 },
            { "state", "ready" }, { "coldRemainingMs", 0 },
            { "capacity", { { "cpu", 64000 }, { "memoryRequestMb", 262144 }, { "gpu", 0 } } }, { "labels", { "a", "r1-1" } },
            { "clockMs", clockMs(Clock::now()) }, { "sequence", ++m_sequence }, { "born", m_bornMs } };
    }

private:
    uint64_t clockMs(Clock::time_point now) const
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(now - m_started).count());
    }

    void print(const std::string& what, const std::string& task, uint64_t run) const
    {
        std::cout << std::to_string(unixMs()) + " " + m_name + " " + what + " " + task + " " + std::to_string(run) + "\n"
                  << std::flush;
    }

    void end(std::list<Run>::iterator run, const std::string& how)
    {
        print(how, run->task, run->number);
        m_ends.push_back({ ++m_lastEnd, run->task, run->number, how });
        m_runs.erase(run);
        m_changed.notify_all();
    }

    void extendLease(uint64_t deadlineMs)
    {
        m_leaseMs = std::max(m_leaseMs, std::min(deadlineMs, clockMs(Clock::now()) + maxHoldMs));
    }

    Answer start(const json& body)
    {
        const std::string task = body.value("task", "");
        const uint64_t number = body.value("run", uint64_t { 0 });
        const uint64_t deadline = body.value("deadlineMs", uint64_t { 0 });
        if (task.empty() || number == 0)
            return { 400, json::object() };
        if (deadline <= clockMs(Clock::now()))
            return { 409, { { "reason", "late" } } };
        extendLease(deadline);
        const auto isSame = [&](const Run& it) { return it.task == task && it.number == number; };
        if (std::any_of(m_runs.begin(), m_runs.end(), isSame))
            return {};
        uint64_t& last = m_numbers[task];
        if (number <= last)
            return { 409, { { "reason", "old" } } };
        last = number;
        const std::string specification = body.value("specification", "");
        const size_t work = specification.find("work=");
        const long ms = work == std::string::npos ? 0 : std::strtol(specification.c_str() + work + 5, nullptr, 10);
        m_runs.push_back({ task, number, Clock::now(), milliseconds(ms) });
        print("start", task, number);
        return {};
    }

    void stop(const json& body)
    {
        const std::string task = body.value("task", "");
        const uint64_t number = body.value("run", uint64_t { 0 });
        m_numbers[task] = std::max(m_numbers[task], number);
        for (auto it = m_runs.begin(); it != m_runs.end(); ++it) {
            if (it->task == task && it->number == number) {
                end(it, "stopped");
                return;
            }
        }
    }

    // Waits for an end that has not been acknowledged.
    Answer hold(std::unique_lock<std::mutex>& lock, const json& body)
    {
        const uint64_t acknowledged = body.value("ackCursor", uint64_t { 0 });
        std::erase_if(m_ends, [&](const End& it) { return it.number <= acknowledged; });
        extendLease(body.value("deadlineMs", uint64_t { 0 }));
        const uint64_t waitMs = std::min(body.value("waitMs", uint64_t { 0 }), maxWaitMs);
        m_changed.wait_for(lock, milliseconds(waitMs), [this] { return !m_ends.empty(); });
        json running = json::array();
        for (const auto& it : m_runs) {
            const auto worked = std::chrono::duration_cast<milliseconds>(Clock::now() - it.started).count();
            running.push_back({ it.task, it.number, "", 100 * worked / std::max<int64_t>(it.work.count(), 1), 6200 });
        }
        json finished = json::array();
        for (size_t i = 0; i < std::min(m_ends.size(), maxListedEnds); ++i)
            finished.push_back({ m_ends[i].number, m_ends[i].task, m_ends[i].run, m_ends[i].how, "" });
        return { 200, { { "born", m_bornMs }, { "running", running }, { "finished", finished } } };
    }

    const std::string m_name;
    const std::string m_service;
    const std::string m_listen;
    const uint64_t m_bornMs;
    const Clock::time_point m_started;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    uint64_t m_sequence = 0;
    uint64_t m_fence = 0;
    uint64_t m_leaseMs = 0;
    uint64_t m_lastEnd = 0;
    std::list<Run> m_runs;
    std::vector<End> m_ends;
    std::map<std::string, uint64_t> m_numbers;
};

std::string headerValue(const std::string& head, const std::string& name)
{
    for (size_t line = head.find("\r\n"); line != std::string::npos; line = head.find("\r\n", line + 2)) {
        const size_t first = line + 2;
        if (strncasecmp(head.c_str() + first, name.c_str(), name.size()) != 0 || head[first + name.size()] != ':')
            continue;
        const size_t value = head.find_first_not_of(' ', first + name.size() + 1);
        return head.substr(value, head.find("\r\n", value) - value);
    }
    return "";
}

bool receiveMore(int descriptor, std::string& received)
{
    std::string buf(4096, '\0');
    const ssize_t n = recv(descriptor, buf.data(), buf.size(), 0);
    if (n > 0)
        received.append(buf, 0, static_cast<size_t>(n));
    return n > 0;
}

// Takes one message off the front of `received`. Returns false when the connection has ended.
bool readMessage(int descriptor, std::string& received, std::string& head, std::string& body)
{
    const std::string separator = "\r\n\r\n";
    size_t end = received.find(separator);
    for (; end == std::string::npos; end = received.find(separator))
        if (!receiveMore(descriptor, received))
            return false;
    head = received.substr(0, end + 2);
    const size_t length = std::strtoul(headerValue(head, "Content-Length").c_str(), nullptr, 10);
    const size_t first = end + separator.size();
    while (received.size() < first + length)
        if (!receiveMore(descriptor, received))
            return false;
    body = received.substr(first, length);
    received.erase(0, first + length);
    return true;
}

bool sendAll(int descriptor, const std::string& data)
{
    return send(descriptor, data.data(), data.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(data.size());
}

void serveConnection(Worker& worker, int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string received;
    std::string head;
    Request request;
    while (readMessage(descriptor, received, head, request.body)) {
        const size_t space = head.find(' ');
        request.method = head.substr(0, space);
        request.path = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
        request.expectedInstance = headerValue(head, "X-Expected-Instance");
        const Answer answer = worker.answer(request);
        const std::string body = answer.body.dump();
        if (!sendAll(descriptor,
                "HTTP/1.1 " + std::to_string(answer.status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body))
            break;
    }
    close(descriptor);
}

bool sendHeartbeat(Worker& worker, const std::string& agent)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout { std::chrono::duration_cast<std::chrono::seconds>(heartbeatTimeout).count(), 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    const sockaddr_in to = toSocketAddress(agent);
    const std::string body = worker.heartbeat().dump();
    std::string received;
    std::string head;
    std::string ignored;
    const bool acknowledged = connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0
        && sendAll(descriptor,
            "PUT /v1/instances/" + worker.name() + " HTTP/1.1\r\nHost: " + agent
                + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
        && readMessage(descriptor, received, head, ignored) && head.find(" 200 ") != std::string::npos;
    close(descriptor);
    return acknowledged;
}

void sendHeartbeats(Worker& worker, const std::string& agent)
{
    while (true)
        std::this_thread::sleep_for(sendHeartbeat(worker, agent) ? heartbeatInterval : heartbeatRetryInterval);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5) {
        std::cerr << "fescuegw-review-worker NAME SERVICE LISTEN_IP:PORT AGENT_IP:PORT\n";
        return 2;
    }
    Worker worker(argv[1], argv[2], argv[3]);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = toSocketAddress(argv[3]);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(listener, backlog) != 0) {
        std::cerr << "fescuegw-review-worker: " << argv[3] << ": cannot listen\n";
        return 2;
    }
    std::thread([&worker] { worker.runTime(); }).detach();
    std::thread([&worker, agent = std::string(argv[4])] { sendHeartbeats(worker, agent); }).detach();
    while (true) {
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0)
            std::thread([&worker, descriptor] { serveConnection(worker, descriptor); }).detach();
    }
}
