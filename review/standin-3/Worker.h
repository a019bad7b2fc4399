// A worker of the platform: carries out what its machine's agent orders, whatever room it has (`rejectsOverload` false).
#pragma once

#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "Http.h"

namespace review {

struct WorkerOptions {
    std::string name;
    std::string service;
    std::string zone;
    std::string rack;
    // Where it takes orders, and where its machine takes its heartbeats.
    Address listen;
    Address agent;
    int64_t cpu = 64000;
    int64_t memoryMb = 262144;
    // Whether each run is recorded, or the number of runs in each second.
    bool recordsRuns = true;
};

// A task's work in milliseconds is the number at the end of its specification. Thread-safe.
class Worker {
public:
    Worker(WorkerOptions options, Record& record);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;
    Worker(Worker&&) = delete;
    Worker& operator=(Worker&&) = delete;

    // Begins a life of the given kind, with a new id, and announces it.
    bool start(const std::string& kind);
    // Ends the life: connections are reset, new ones refused, and nothing runs.
    void crash();

private:
    struct Run {
        std::string task;
        uint64_t number = 0;
        int64_t dueMs = 0;
        int64_t startedMs = 0;
    };

    struct Ended {
        uint64_t number = 0;
        std::string task;
        uint64_t run = 0;
        std::string how;
    };

    Reply handle(const Message& request);
    Reply startRun(const nlohmann::json& body);
    Reply stopRun(const nlohmann::json& body);
    Reply hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock);
    Reply answer(int status, nlohmann::json body) const;
    Reply refuse(const std::string& reason) const;
    void extendLease(const nlohmann::json& body);
    void end(std::list<Run>::iterator run, const std::string& how);
    void progress();
    void beat();
    int64_t clockMs() const;
    // Requires the lock.
    void recordRun(const std::string& line, const std::string& kind);

    WorkerOptions m_options;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_alive = false;
    bool m_finished = false;
    std::string m_kind;
    std::string m_id;
    uint64_t m_lives = 0;
    uint64_t m_born = 0;
    uint64_t m_sequence = 0;
    int64_t m_startedMs = 0;
    uint64_t m_fence = 0;
    int64_t m_leaseMs = 0;
    uint64_t m_lastEnd = 0;
    std::list<Run> m_runs;
    std::vector<Ended> m_ended;
    // The highest run of each task that has ended or was stopped here.
    std::map<std::string, uint64_t> m_numbers;
    // By what has happened to them, since the last summary.
    std::map<std::string, size_t> m_counts;
    int64_t m_summaryDueMs = 0;
    std::unique_ptr<Server> m_server;
    std::thread m_progress;
    std::thread m_beats;
};

} // namespace review
