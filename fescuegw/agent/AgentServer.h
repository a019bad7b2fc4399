// The agent, a sidecar process of one upstream: accepts dispatches, runs the tasks on the upstream and keeps their results.
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

// Reads the settings of fescuegw-agent. Errors are recorded in `document`.
AgentSettings readAgentSettings(settings::Document& document);

// The body of an upstream's PUT /v1/upstream request.
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

// Runs tasks on the upstream over HTTP, with one thread per slot.
class SlotPool {
public:
    // Called on a slot's thread when a task has ended.
    using EndHook
        = std::function<void(const TaskId&, bool succeeded, Verdict, std::string reason, std::string output, uint64_t runUs)>;

    SlotPool(uint64_t incarnation, trace::Recorder&, EndHook);
    ~SlotPool();
    SlotPool(const SlotPool&) = delete;
    SlotPool& operator=(const SlotPool&) = delete;
    SlotPool(SlotPool&&) = delete;
    SlotPool& operator=(SlotPool&&) = delete;

    // Ensures that at least `count` tasks can run concurrently. Not thread-safe, unlike `start` and `stop`.
    void grow(uint32_t count);
    void start(const settings::Address& upstream, const wire::TaskDispatch&);
    // Asks the upstream to stop a running task. Returns without waiting for the response.
    void stop(const settings::Address& upstream, const TaskId&);

private:
    struct QueuedTask {
        settings::Address upstream;
        wire::TaskDispatch task;
    };

    void processQueue();
    void sendStops();
    void runTask(http::Client&, const QueuedTask&);

    uint64_t m_incarnation;
    trace::Recorder& m_recorder;
    EndHook m_onEnd;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<QueuedTask> m_queue;
    std::deque<std::string> m_stopUrls;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

// The agent. The link thread owns the task table; slot threads and HTTP threads post to the link thread.
class AgentServer {
public:
    AgentServer(AgentSettings, daemon::Metrics&);

    Result<void> start();
    int run();
    // Starts a graceful shutdown: refuses new tasks, lets running tasks end and waits until owners have released the results.
    void stop();

private:
    struct EntryLink {
        TimePoint nextReport;
    };

    void onMessage(TimePoint now, const net::Peer&, const std::string&);
    void onBatchEnd(TimePoint now);
    void handle(const http::Request&, const http::Responder&);
    void onAnnounce(TimePoint now, const Announcement&);
    void report(TimePoint now, const std::string& entry);
    void reportToAll(TimePoint now);
    void send(const std::string& entry, const wire::AgentToEntry&);
    wire::AgentToEntry makeMessage() const;
    wire::UpstreamState upstreamState(TimePoint now) const;
    void flushResults(TimePoint now);
    wire::AgentReport makeReport(TimePoint now) const;
    Duration reportInterval(const std::string& entry) const;
    void onTaskEnd(const wire::TaskResult&);
    bool isDrained(TimePoint now) const;

    AgentSettings m_settings;
    uint64_t m_incarnation;
    trace::Recorder m_recorder;
    TaskTable m_table;
    std::unique_ptr<net::Hub> m_hub;
    std::unique_ptr<SlotPool> m_slots;
    std::unique_ptr<http::Server> m_http;
    daemon::Metrics& m_metrics;
    std::map<std::string, EntryLink> m_entries;
    std::map<std::string, std::vector<wire::TaskResult>> m_pendingResults;
    std::string m_owner;
    Announcement m_announcement;
    TimePoint m_announcedAt;
    bool m_hasAnnouncement = false;
    std::atomic<bool> m_ready { false };
    bool m_draining = false;
    TimePoint m_drainDeadline;
    uint64_t m_configurationVersion = 0;
    wire::UpstreamState m_reportedState = wire::ABSENT;
    // The entry that dispatched each running task of a repeatable request.
    std::map<TaskId, std::string> m_requesters;

    prometheus::Counter& m_starts;
    prometheus::Counter& m_refusals;
    prometheus::Counter& m_reports;
    prometheus::Counter& m_messagesIn;
    prometheus::Counter& m_messagesOut;
};

} // namespace fescuegw::agent
