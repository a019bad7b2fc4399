// fescuegw-agent: the sidecar process of one upstream, which runs the tasks dispatched to it.
#include <iostream>

#include "fescuegw/agent/AgentServer.h"
#include "fescuegw/logging/Log.h"

using namespace fescuegw;

namespace {

int serve(const agent::AgentSettings& settings)
{
    daemon::StopSignal signal;
    logging::initialise(settings.process.name, settings.process.logLevel, settings.process.logFile);
    daemon::Metrics metrics(settings.process.name);
    agent::AgentServer server(settings, metrics);
    if (auto started = server.start(); !started) {
        std::cerr << "fescuegw-agent: " << started.error().detail << '\n';
        return daemon::exitFailure;
    }
    signal.onStop([&] { server.stop(); });
    return server.run();
}

} // namespace

int main(int argc, char** argv)
{
    agent::AgentSettings settings;
    return daemon::runDaemon(
        argc, argv, "fescuegw-agent", "runs tasks on the upstream beside it",
        [&](settings::Document& document) { settings = agent::readAgentSettings(document); }, [&] { return serve(settings); });
}
