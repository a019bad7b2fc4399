// fescuegw-standin: runs one or more fake upstreams in one process.
#include <condition_variable>
#include <iostream>

#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/logging/Log.h"
#include "fescuegw/standin/Standin.h"

using namespace fescuegw;

namespace {

constexpr std::string_view sectionPrefix = "upstream ";

struct Settings {
    std::string logLevel;
    std::string logFile;
    std::vector<standin::UpstreamSettings> upstreams;
};

Settings readSettings(settings::Document& document)
{
    Settings settings;
    settings.logLevel = document.choiceOr("process", "log-level", { "debug", "info", "warn", "error" }, "info");
    settings.logFile = document.textOr("process", "log-file", "");
    for (const auto& section : document.sections()) {
        if (!section.starts_with(sectionPrefix))
            continue;
        standin::UpstreamSettings upstream;
        upstream.name = section.substr(sectionPrefix.size());
        upstream.service = document.name(section, "service");
        upstream.listen = document.address(section, "listen");
        upstream.agent = document.address(section, "agent");
        upstream.slots = static_cast<uint32_t>(document.numberOr(section, "slots", 8, 1, 256));
        upstream.cores = static_cast<uint32_t>(document.numberOr(section, "cores", 64, 1, 4096));
        upstream.memoryMb = static_cast<uint32_t>(document.numberOr(section, "memory-mb", 256ULL * 1024, 1));
        settings.upstreams.push_back(upstream);
    }
    if (settings.upstreams.empty())
        document.reject("upstream NAME", "listen", "at least one section [upstream NAME]");
    return settings;
}

int serve(const Settings& settings)
{
    daemon::StopSignal signal;
    logging::initialise("standin", settings.logLevel, settings.logFile);
    std::vector<std::unique_ptr<standin::Upstream>> upstreams;
    for (const auto& it : settings.upstreams) {
        upstreams.push_back(std::make_unique<standin::Upstream>(it));
        if (auto started = upstreams.back()->start(); !started) {
            std::cerr << "fescuegw-standin: " << started.error().detail << '\n';
            return daemon::exitFailure;
        }
    }
    std::mutex mutex;
    std::condition_variable condition;
    bool stopRequested = false;
    signal.onStop([&] {
        const std::lock_guard<std::mutex> lock(mutex);
        stopRequested = true;
        condition.notify_all();
    });
    std::unique_lock<std::mutex> lock(mutex);
    condition.wait(lock, [&] { return stopRequested; });
    std::vector<std::thread> leaveThreads;
    leaveThreads.reserve(upstreams.size());
    for (const auto& it : upstreams)
        leaveThreads.emplace_back([&it] { it->leave(); });
    for (auto& it : leaveThreads)
        it.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    Settings settings;
    return daemon::runDaemon(
        argc, argv, "fescuegw-standin", "stand-in upstreams for tests and experiments",
        [&](settings::Document& document) { settings = readSettings(document); }, [&] { return serve(settings); });
}
