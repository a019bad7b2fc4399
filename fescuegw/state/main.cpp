// fescuegw-state: a replica of the state group.
#include <iostream>

#include "fescuegw/logging/Log.h"
#include "fescuegw/state/StateServer.h"

using namespace fescuegw;

namespace {

int serve(const state::StateSettings& settings)
{
    daemon::StopSignal signal;
    logging::initialise(settings.process.name, settings.process.logLevel, settings.process.logFile);
    daemon::Metrics metrics(settings.process.name);
    state::StateServer server(settings, metrics);
    if (auto started = server.start(); !started) {
        std::cerr << "fescuegw-state: " << started.error().detail << '\n';
        return daemon::exitFailure;
    }
    http::ServerOptions httpOptions;
    httpOptions.listen = settings.process.http;
    httpOptions.threads = 1;
    http::Server httpServer(httpOptions, [&](const http::Request& request, const http::Responder& respond) {
        const auto answer = daemon::answerAdministrative(request, server.ready(), metrics);
        respond(answer.value_or(http::problem({ Verdict::NotRun, 404, "unknown path" })));
    });
    if (auto started = httpServer.start(); !started) {
        std::cerr << "fescuegw-state: " << started.error().detail << '\n';
        return daemon::exitFailure;
    }
    signal.onStop([&] { server.stop(); });
    return server.run();
}

} // namespace

int main(int argc, char** argv)
{
    state::StateSettings settings;
    return daemon::runDaemon(
        argc, argv, "fescuegw-state", "a replica of the durable state",
        [&](settings::Document& document) { settings = state::readStateSettings(document); }, [&] { return serve(settings); });
}
