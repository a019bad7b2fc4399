#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>

#include <criterion/criterion.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fescuegw/daemon/Daemon.h"

namespace fescuegw::daemon {

namespace {

    constexpr int reloadedCode = 7;

    // Ends the process with `reloadedCode` once a signal that came before it served was taken.
    [[noreturn]] void runAndReload(std::string settings)
    {
        // Only ends a hopeless wait.
        constexpr unsigned hopelessSeconds = 20;
        std::signal(SIGHUP, SIG_DFL);
        alarm(hopelessSeconds);
        std::string program = "daemon";
        std::string option = "--settings";
        std::array<char*, 3> arguments { program.data(), option.data(), settings.data() };
        runDaemon(
            static_cast<int>(arguments.size()), arguments.data(), "daemon", "for this test",
            [](settings::Document&) { kill(getpid(), SIGHUP); },
            [] {
                StopSignal signal;
                signal.onStop([] {}, [] { _exit(reloadedCode); });
                while (true)
                    pause();
                return 0;
            });
        _exit(1);
    }

} // namespace

// A platform tells a process of changed settings, or asks it to stop, whenever it likes.
Test(daemon, signalsThatComeBeforeItServesAreKept)
{
    std::string path = "/tmp/fescuegw-daemon-XXXXXX";
    const int file = mkstemp(path.data());
    cr_assert_geq(file, 0);
    close(file);
    // In a process with one thread: others would take the signal.
    const int pid = fork();
    if (pid == 0)
        runAndReload(path);
    int state = 0;
    waitpid(pid, &state, 0);
    std::remove(path.c_str());
    cr_assert(WIFEXITED(state) && WEXITSTATUS(state) == reloadedCode);
}

} // namespace fescuegw::daemon
