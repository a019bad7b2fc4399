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

    // Exits with `reloadedCode` if a SIGHUP sent before the daemon is running reaches the reload hook.
    [[noreturn]] void runAndReload(std::string settings)
    {
        // Ends the process if the signal is never delivered.
        constexpr unsigned timeoutSeconds = 20;
        std::signal(SIGHUP, SIG_DFL);
        alarm(timeoutSeconds);
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

// A platform may send SIGHUP or SIGTERM during start-up. A signal that arrives before the hooks are registered must stay
// pending, not be lost or end the process.
Test(daemon, signalsDuringStartUpStayPending)
{
    std::string path = "/tmp/fescuegw-daemon-XXXXXX";
    const int file = mkstemp(path.data());
    cr_assert_geq(file, 0);
    close(file);
    // Forked to get a process with a single thread, since any other thread could receive the signal.
    const int pid = fork();
    if (pid == 0)
        runAndReload(path);
    int state = 0;
    waitpid(pid, &state, 0);
    std::remove(path.c_str());
    cr_assert(WIFEXITED(state) && WEXITSTATUS(state) == reloadedCode);
}

} // namespace fescuegw::daemon
