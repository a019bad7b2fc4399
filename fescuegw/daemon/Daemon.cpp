#include "fescuegw/daemon/Daemon.h"

#include <csignal>
#include <iostream>

#include <boost/program_options.hpp>
#include <prometheus/text_serializer.h>

#include "fescuegw/http/Client.h"
#include "fescuegw/logging/Log.h"

namespace fescuegw::daemon {

namespace {

    constexpr int statusUnavailable = 503;

    sigset_t handledSignals()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGINT);
        sigaddset(&set, SIGHUP);
        return set;
    }

    // Blocks the handled signals, so that they stay pending until StopSignal's thread receives them.
    void blockHandledSignals()
    {
        const sigset_t set = handledSignals();
        pthread_sigmask(SIG_BLOCK, &set, nullptr);
    }

} // namespace

ProcessSettings readProcessSettings(settings::Document& document)
{
    static const std::string section = "process";
    ProcessSettings process;
    process.name = document.name(section, "name");
    process.domain = document.name(section, "domain");
    process.http = document.address(section, "http");
    process.logLevel = document.choiceOr(section, "log-level", { "debug", "info", "warn", "error" }, "info");
    process.logFile = document.textOr(section, "log-file", "");
    process.traceFile = document.textOr(section, "trace-file", "");
    const std::string keyFile = document.text(section, "keys");
    if (keyFile.empty() || keyFile == "none")
        return process;
    const auto content = settings::readSecret(keyFile);
    if (!content) {
        document.reject(section, "keys", "a key file of mode 0600 made by 'fescuectl keygen'; " + content.error());
        return process;
    }
    auto keys = net::parseKeyPair(*content);
    if (!keys)
        document.reject(section, "keys", "a file with " + keys.error().detail);
    process.keys = keys.value_or(net::KeyPair());
    return process;
}

Metrics::Metrics(std::string process)
    : m_process(std::move(process))
{
}

prometheus::Counter& Metrics::counter(const std::string& name, const std::string& help, const std::string& kind)
{
    prometheus::Labels labels { { "process", m_process } };
    if (!kind.empty())
        labels["kind"] = kind;
    return prometheus::BuildCounter().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add({ { "process", m_process } });
}

prometheus::Histogram& Metrics::latency(const std::string& name, const std::string& help, const std::string& kind)
{
    prometheus::Labels labels { { "process", m_process } };
    if (!kind.empty())
        labels["kind"] = kind;
    const prometheus::Histogram::BucketBoundaries bounds { 5, 10, 20, 40, 80, 150, 300, 600, 1200, 2500, 5000, 10000 };
    return prometheus::BuildHistogram().Name(name).Help(help).Register(m_registry).Add(labels, bounds);
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

std::optional<http::Response> answerAdministrative(const http::Request& request, bool ready, const Metrics& metrics)
{
    constexpr const char* plainText = "text/plain; charset=utf-8";
    if (request.path == "/healthz")
        return http::Response { 200, "ok\n", plainText };
    if (request.path == "/readyz")
        return ready ? http::Response { 200, "ready\n", plainText }
                     : http::Response { statusUnavailable, "not ready\n", plainText };
    if (request.path == "/metrics")
        return http::Response { 200, metrics.text(), "text/plain; version=0.0.4" };
    return std::nullopt;
}

StopSignal::StopSignal()
{
    blockHandledSignals();
    std::signal(SIGPIPE, SIG_IGN);
}

StopSignal::~StopSignal()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        pthread_kill(m_thread.native_handle(), SIGINT);
        m_thread.join();
    }
}

void StopSignal::onStop(std::function<void()> hook, std::function<void()> reload)
{
    m_thread = std::thread([this, hook = std::move(hook), reload = std::move(reload)] {
        const sigset_t set = handledSignals();
        while (!m_stopping) {
            int signal = 0;
            sigwait(&set, &signal);
            if (m_stopping)
                return;
            if (signal != SIGHUP)
                hook();
            else if (reload)
                reload();
        }
    });
}

int runDaemon(int argc, char** argv, const std::string& program, const std::string& summary,
    const std::function<void(settings::Document&)>& check, const std::function<int()>& run)
{
    blockHandledSignals();
    namespace options = boost::program_options;
    options::options_description description(program + ": " + summary + "\n\nOptions");
    description.add_options()("settings", options::value<std::string>(), "the settings file (INI); see docs/SETTINGS.md")(
        "check-settings", "check the settings file and exit: 0 valid, 2 not")("help", "print this text")(
        "version", "print the version");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
    } catch (const options::error& error) {
        std::cerr << program << ": " << error.what() << "; see --help\n";
        return exitUsage;
    }
    if (arguments.count("help") > 0) {
        std::cout << description << '\n';
        return 0;
    }
    if (arguments.count("version") > 0) {
        std::cout << program << ' ' << version << '\n';
        return 0;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << program << ": --settings FILE is required; see --help\n";
        return exitUsage;
    }
    auto document = settings::Document::fromFile(arguments["settings"].as<std::string>());
    if (!document) {
        std::cerr << document.error() << '\n';
        return exitUsage;
    }
    check(*document);
    const std::string firstError = document->finish();
    if (!firstError.empty()) {
        std::cerr << firstError << '\n';
        return exitUsage;
    }
    if (arguments.count("check-settings") > 0)
        return 0;
    http::initialiseClients();
    return run();
}

} // namespace fescuegw::daemon
