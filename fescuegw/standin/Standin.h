// A fake upstream for tests and experiments that simulates tasks, counts every start, and injects faults on request.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fescuegw/http/Client.h"
#include "fescuegw/http/Server.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::standin {

struct UpstreamSettings {
    std::string name;
    std::string service;
    settings::Address listen;
    settings::Address agent;
    uint32_t slots = 0;
    uint32_t cores = 0;
    uint32_t memoryMb = 0;
};

// The injected fault. It applies until another one is set.
enum class Fault : uint8_t {
    None,
    // Every task takes ten times its run time.
    Slow,
    // Every task fails immediately.
    Fail,
    // No task completes.
    Hang,
    // The request is read and the connection closed without a response.
    Close,
    // The task is rejected without being started.
    Refuse,
};

// A fake upstream. Starts every task that it is given, even beyond its capacity. A task's input may contain "run_ms=N"; the
// output holds the task's key and the digest of its input, so that callers can detect partial answers and answers that belong
// to another task. Thread-safe.
class Upstream {
public:
    explicit Upstream(UpstreamSettings);
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;
    Upstream(Upstream&&) = delete;
    Upstream& operator=(Upstream&&) = delete;

    Result<void> start();

    // Announces to the agent that the upstream leaves. Blocks until all running tasks have ended.
    void leave();

private:
    struct RunningTask {
        TimePoint due;
        std::string incarnation;
        std::string output;
        http::Responder respond;
    };

    void handle(const http::Request&, const http::Responder&);
    void handleTask(const http::Request&, const http::Responder&);
    http::Response startCounts();
    bool setFault(const std::string& name);
    void completeTasks();
    void runAnnouncements();
    std::string announcement();

    UpstreamSettings m_settings;
    std::string m_instance;
    std::unique_ptr<http::Server> m_http;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    // Running tasks by request path, with one entry per start: a task started twice concurrently has two entries.
    std::multimap<std::string, RunningTask> m_running;
    std::map<std::string, uint64_t> m_starts;
    uint64_t m_startCount = 0;
    size_t m_maxRunning = 0;
    Fault m_fault = Fault::None;
    bool m_leaving = false;
    bool m_stopping = false;
    std::thread m_completionThread;
    std::thread m_announcementThread;
};

} // namespace fescuegw::standin
