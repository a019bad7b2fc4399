// A stand-in for a worker of the users' platform, after their page on running tasks.
#pragma once

#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "fescuegw/http/Server.h"
#include "review/standin/Record.h"

namespace fescuegw::review {

struct WorkerOptions {
    std::string name;
    std::string service;
    settings::Address listen;
    // Where its agent takes heartbeats.
    settings::Address agent;
    uint32_t seed = 0;
    Duration heartbeatInterval { std::chrono::milliseconds(1500) };
    // The longest lease that it grants.
    Duration longestLease { std::chrono::milliseconds(1000) };
};

// How a worker treats requests, in percent.
struct WorkerTrouble {
    // Starts that it carries out and whose answer is lost.
    uint32_t lostAnswers = 0;
    // Starts that it answers with 429 without doing anything.
    uint32_t refusals = 0;
    // Requests of any kind that it leaves undone and without an answer.
    uint32_t hangs = 0;
};

// A job's specification lists the work of the tasks of each step, in milliseconds. Thread-safe.
class Worker {
public:
    Worker(WorkerOptions, Record&);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;
    Worker(Worker&&) = delete;
    Worker& operator=(Worker&&) = delete;

    Result<void> start();
    void setTrouble(const WorkerTrouble& trouble);
    size_t running() const;

private:
    struct Run {
        std::string task;
        uint64_t number = 0;
        TimePoint started;
        TimePoint due;

        // Returns how much of the work is done.
        int64_t percent(TimePoint now) const { return 100 * (now - started) / (due - started); }
    };

    struct Ended {
        uint64_t number = 0;
        std::string task;
        uint64_t run = 0;
        std::string how;
    };

    struct WaitingHold {
        TimePoint due;
        http::Responder respond;
    };

    void handle(const http::Request&, const http::Responder&);
    void startRun(TimePoint now, const nlohmann::json& body, const http::Responder&);
    http::Response runOrder(TimePoint now, const nlohmann::json& body);
    http::Response stopRun(TimePoint now, const nlohmann::json& body);
    void hold(TimePoint now, const nlohmann::json& body, const http::Responder&);
    bool fenced(const nlohmann::json& body);
    http::Response answer(TimePoint now, int status, nlohmann::json body) const;
    http::Response listing(TimePoint now) const;
    void end(TimePoint now, std::list<Run>::iterator, const std::string& how);
    void progress(TimePoint now);
    void serveTime();
    void serveHeartbeats();
    std::string heartbeat(TimePoint now);
    uint64_t clockMs(TimePoint now) const { return toMs(now - m_started); }

    WorkerOptions m_options;
    Record& m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::mt19937 m_random;
    WorkerTrouble m_trouble;
    bool m_finished = false;
    TimePoint m_started;
    uint64_t m_bornMs = 0;
    uint64_t m_sequence = 0;
    uint64_t m_fence = 0;
    uint64_t m_leaseMs = 0;
    uint64_t m_lastEnd = 0;
    std::list<Run> m_runs;
    std::vector<Ended> m_ended;
    // The highest run that was stopped or has ended, by task.
    std::map<std::string, uint64_t> m_closed;
    std::vector<WaitingHold> m_holds;
    // Answers that never come.
    std::vector<http::Responder> m_lost;
    std::unique_ptr<http::Server> m_http;
    std::thread m_time;
    std::thread m_heartbeats;
};

} // namespace fescuegw::review
