// What all daemons share: command line, common settings, signals, metrics and the administrative HTTP pages.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "fescuegw/base/Types.h"
#include "fescuegw/http/Server.h"
#include "fescuegw/net/Hub.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::daemon {

constexpr int exitFailure = 1;
// Bad arguments or settings: nothing was started.
constexpr int exitUsage = 2;

constexpr const char* version = "0.1.0";

// The section [process] of every daemon's settings.
struct ProcessSettings {
    std::string name;
    std::string domain;
    settings::Address http;
    std::string logLevel;
    std::string logFile;
    std::string traceFile;
    net::KeyPair keys;
};

// Reads [process]; faults are kept by `document`.
ProcessSettings readProcessSettings(settings::Document& document);

// Counters and gauges of one process. Thread-safe.
class Metrics {
public:
    explicit Metrics(std::string process);
    prometheus::Counter& counter(const std::string& name, const std::string& help, const std::string& kind = "");
    prometheus::Gauge& gauge(const std::string& name, const std::string& help);

    // A histogram of milliseconds with bounds from 5 ms to 10 s, each about twice the one before.
    prometheus::Histogram& latency(const std::string& name, const std::string& help, const std::string& kind = "");

    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::string m_process;
    prometheus::Registry m_registry;
};

// Returns the answer to GET /healthz, /readyz or /metrics, or nothing for another path.
std::optional<http::Response> answerAdministrative(const http::Request&, bool ready, const Metrics&);

// Calls hooks on a thread of its own when the process is asked to stop by SIGTERM or SIGINT, or to read its settings again by
// SIGHUP. Construct before any other thread starts: the signals are blocked from then on.
class StopSignal {
public:
    StopSignal();
    ~StopSignal();
    StopSignal(const StopSignal&) = delete;
    StopSignal& operator=(const StopSignal&) = delete;
    StopSignal(StopSignal&&) = delete;
    StopSignal& operator=(StopSignal&&) = delete;

    void onStop(std::function<void()> hook, std::function<void()> reload = {});

private:
    std::thread m_thread;
    std::atomic<bool> m_finished { false };
};

// A daemon's main function: parses the command line, reads and checks the settings file, then calls `run`. `check` reads
// every key; what it leaves unread is refused. Returns the exit code.
int runDaemon(int argc, char** argv, const std::string& program, const std::string& summary,
    const std::function<void(settings::Document&)>& check, const std::function<int()>& run);

} // namespace fescuegw::daemon
