// Functions common to all daemons: command line, settings, signals, metrics and administrative HTTP endpoints.
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
// Invalid arguments or settings; nothing was started.
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

// Reads [process]; errors are recorded in `document`.
ProcessSettings readProcessSettings(settings::Document& document);

// Metrics of one process. Thread-safe.
class Metrics {
public:
    explicit Metrics(std::string process);
    prometheus::Counter& counter(const std::string& name, const std::string& help, const std::string& kind = "");
    prometheus::Gauge& gauge(const std::string& name, const std::string& help);

    // A histogram of milliseconds with bounds from 5 ms to 10 s, each about twice the previous one.
    prometheus::Histogram& latency(const std::string& name, const std::string& help, const std::string& kind = "");

    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::string m_process;
    prometheus::Registry m_registry;
};

// Returns the response to GET /healthz, /readyz or /metrics, or std::nullopt for any other path.
std::optional<http::Response> answerAdministrative(const http::Request&, bool ready, const Metrics&);

// Handles SIGTERM and SIGINT (stop) and SIGHUP (reload settings) by hooks called on a dedicated thread. Must be constructed
// before any other thread starts, so that all threads inherit the blocked signal mask.
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
    std::atomic<bool> m_stopping { false };
};

// A daemon's main function: parses the command line, reads and validates the settings file, then calls `run`. `check` must
// read every key; keys that it doesn't read are rejected as unknown. Returns the exit code.
int runDaemon(int argc, char** argv, const std::string& program, const std::string& summary,
    const std::function<void(settings::Document&)>& check, const std::function<int()>& run);

} // namespace fescuegw::daemon
