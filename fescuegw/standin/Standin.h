// A stand-in upstream for tests and experiments: it runs what it is given, counts every start, and fails on request.
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

// What the upstream does wrong, until told otherwise.
enum class Fault : uint8_t {
    None,
    // Every task takes ten times as long.
    Slow,
    // Every task fails at once.
    Fail,
    // No task ever ends.
    Hang,
    // The request is read and the connection closed without an answer.
    Close,
    // The task is refused without being started.
    Refuse,
};

// One upstream. It starts everything it is given, whether it fits or not. A task's input may hold "run_ms=N"; its output
// names the task and the digest of its input, so that callers can tell foreign and partial answers. Thread-safe.
class Upstream {
public:
    explicit Upstream(UpstreamSettings);
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;
    Upstream(Upstream&&) = delete;
    Upstream& operator=(Upstream&&) = delete;

    Result<void> start();

    // Announces that it leaves, and returns when its tasks have ended.
    void leave();

private:
    struct Running {
        TimePoint due;
        std::string incarnation;
        std::string output;
        http::Responder respond;
    };

    void handle(const http::Request&, const http::Responder&);
    void handleTask(const http::Request&, const http::Responder&);
    http::Response startCounts();
    bool setFault(const std::string& name);
    void serveEnds();
    void serveAnnouncements();
    std::string announcement();

    UpstreamSettings m_settings;
    std::string m_instance;
    std::unique_ptr<http::Server> m_http;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    // Running tasks by path; a task that is started twice at a time stands under both its starts.
    std::multimap<std::string, Running> m_running;
    std::map<std::string, uint64_t> m_starts;
    uint64_t m_startCount = 0;
    size_t m_mostRunning = 0;
    Fault m_fault = Fault::None;
    bool m_leaving = false;
    bool m_finished = false;
    std::thread m_ends;
    std::thread m_announcements;
};

} // namespace fescuegw::standin
