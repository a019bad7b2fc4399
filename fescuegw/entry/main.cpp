// fescuegw-entry: serves callers and operators, and dispatches the tasks of the services that it owns.
#include <iostream>

#include "fescuegw/entry/EntryServer.h"
#include "fescuegw/logging/Log.h"

using namespace fescuegw;

namespace {

int serve(const entry::EntrySettings& settings)
{
    daemon::StopSignal signal;
    logging::initialise(settings.process.name, settings.process.logLevel, settings.process.logFile);
    daemon::Metrics metrics(settings.process.name);
    entry::EntryServer server(settings, metrics);
    if (auto started = server.start(); !started) {
        std::cerr << "fescuegw-entry: " << started.error().detail << '\n';
        return daemon::exitFailure;
    }
    signal.onStop([&] { server.stop(); });
    return server.run();
}

} // namespace

int main(int argc, char** argv)
{
    entry::EntrySettings settings;
    return daemon::runDaemon(
        argc, argv, "fescuegw-entry", "serves callers and dispatches tasks",
        [&](settings::Document& document) { settings = entry::readEntrySettings(document); }, [&] { return serve(settings); });
}
