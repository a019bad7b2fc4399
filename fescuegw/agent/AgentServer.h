// The process beside one upstream: takes dispatches, runs them on the upstream, keeps their results.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fescuegw/agent/TaskTable.h"
#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/http/Client.h"
#include "fescuegw/net/Hub.h"
#include "fescuegw/trace/Trace.h"

namespace fescuegw::agent {

struct AgentSettings {
    daemon::ProcessSettings process;
    // Addresses of the entries, by name.
    std::map<std::string, settings::Address> entries;
    Duration reportInterval {};
    Duration standbyReportInterval {};
    Duration announceLease {};
    Duration drainLimit {};
};

// Reads the settings of fescuegw-agent; faults are kept by `document`.
AgentSettings readAgentSettings(settings::Document& document);

// An upstream's own account of itself, as it announces it.
struct Announcement {
    std::string service;
    settings::Address address;
    std::string instance;
    bool leaving = false;
    uint32_t slots = 0;
    uint32_t coresMilli = 0;
    uint32_t memoryMb = 0;
    std::vector<UpstreamTask> running;

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

// Runs tasks on the upstream, one thread for each slot. Thread-safe.
class SlotPool {
public:
    // Called on a slot's thread when the task has ended.
    using EndHook
        = std::function<void(const TaskId&, bool succeeded, Verdict, std::string reason, std::string output, uint64_t runUs)>;

    SlotPool(uint64_t incarnation, trace::Recorder&, EndHook);
    ~SlotPool();
    SlotPool(const SlotPool&) = delete;
    SlotPool& operator=(const SlotPool&) = delete;
    SlotPool(SlotPool&&) = delete;
    SlotPool& operator=(SlotPool&&) = delete;

    // Makes sure that `count` tasks can run side by side.
    void grow(uint32_t count);
    void start(const settings::Address& upstream, const wire::TaskDispatch&);
    // Asks the upstream to stop a running task.
    void stop(const settings::Address& upstream, const TaskId&);

private:
    struct Work {
        settings::Address upstream;
        wire::TaskDispatch task;
    };

    void serve();
    void serveStops();
    void runTask(http::Client&, const Work&);

    uint64_t m_incarnation;
    trace::Recorder& m_recorder;
    EndHook m_onEnd;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Work> m_work;
    std::deque<std::string> m_stops;
    bool m_finished = false;
    std::vector<std::thread> m_threads;
};

// The agent's process. The link thread owns the task table; slots and HTTP post to it.
class AgentServer {
public:
    AgentServer(AgentSettings, daemon::Metrics&);

    Result<void> start();
    int run();
    // Starts the graceful stop: no new work, running tasks end, results are handed over.
    void stop();

private:
    struct EntryLink {
        TimePoint reportDue;
    };

    void onMessage(TimePoint now, const net::Peer&, const std::string&);
    void onBatchEnd(TimePoint now);
    void handle(const http::Request&, const http::Responder&);
    void onAnnounce(TimePoint now, const Announcement&);
    void report(TimePoint now, const std::string& entry);
    void reportToAll(TimePoint now);
    void send(const std::string& entry, const wire::AgentToEntry&);
    wire::AgentToEntry message() const;
    wire::UpstreamState upstreamState(TimePoint now) const;
    void flushResults(TimePoint now);
    wire::AgentReport makeReport(TimePoint now) const;
    Duration reportInterval(const std::string& entry) const;
    void onTaskEnd(const wire::TaskResult&);
    bool drained(TimePoint now) const;

    AgentSettings m_settings;
    uint64_t m_incarnation;
    trace::Recorder m_recorder;
    TaskTable m_table;
    std::unique_ptr<net::Hub> m_hub;
    std::unique_ptr<SlotPool> m_slots;
    std::unique_ptr<http::Server> m_http;
    daemon::Metrics& m_metrics;
    std::map<std::string, EntryLink> m_entries;
    std::map<std::string, std::vector<wire::TaskResult>> m_results;
    std::string m_owner;
    Announcement m_announcement;
    TimePoint m_announced;
    bool m_present = false;
    std::atomic<bool> m_ready { false };
    bool m_draining = false;
    TimePoint m_drainUntil;
    uint64_t m_configurationVersion = 0;
    wire::UpstreamState m_reportedState = wire::ABSENT;
    // The entry that sent each task of a repeatable request.
    std::map<TaskId, std::string> m_requesters;

    prometheus::Counter& m_starts;
    prometheus::Counter& m_refusals;
    prometheus::Counter& m_reports;
    prometheus::Counter& m_messagesIn;
    prometheus::Counter& m_messagesOut;
};

} // namespace fescuegw::agent
