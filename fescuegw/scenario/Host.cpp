#include "fescuegw/scenario/Host.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fescuegw::scenario {

namespace {

    constexpr int codeStillRunning = -1000;
    constexpr int exitExecFailed = 127;
    constexpr int fileMode = 0600;
    constexpr Duration pollInterval = std::chrono::milliseconds(5);

    int forkAndExec(const std::string& program, const std::vector<std::string>& arguments, const std::string& output)
    {
        std::vector<char*> argv { const_cast<char*>(program.c_str()) };
        for (const auto& it : arguments)
            argv.push_back(const_cast<char*>(it.c_str()));
        argv.push_back(nullptr);
        const int pid = fork();
        if (pid != 0)
            return pid;
        // Ends the child process when the scenario is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, fileMode);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        execv(program.c_str(), argv.data());
        _exit(exitExecFailed);
    }

} // namespace

Host::Host(std::string programs, std::string folder)
    : m_programFolder(std::move(programs))
    , m_folder(std::move(folder))
{
}

Host::~Host()
{
    for (auto& it : m_processes) {
        reap(it.second);
        if (it.second.ended)
            continue;
        kill(it.second.pid, SIGKILL);
        waitpid(it.second.pid, nullptr, 0);
    }
    for (const auto& it : m_calls)
        if (it->thread.joinable())
            it->thread.join();
}

void Host::spawn(const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    const int pid = forkAndExec(m_programFolder + "/" + program, arguments, m_folder + "/" + name + ".out");
    if (pid < 0)
        throw std::runtime_error("can't fork to start " + program);
    m_processes[name] = Process { pid, false, 0 };
}

void Host::signal(const std::string& name, int number)
{
    const Process& process = m_processes.at(name);
    if (!process.ended)
        kill(process.pid, number);
}

void Host::reap(Process& process)
{
    int state = 0;
    if (process.ended || waitpid(process.pid, &state, WNOHANG) != process.pid)
        return;
    process.ended = true;
    process.exitCode = WIFEXITED(state) ? WEXITSTATUS(state) : -WTERMSIG(state);
}

int Host::wait(const std::string& name, Duration timeout)
{
    Process& process = m_processes.at(name);
    const TimePoint end = monotonicNow() + timeout;
    do {
        reap(process);
        if (process.ended)
            return process.exitCode;
        std::this_thread::sleep_for(pollInterval);
    } while (monotonicNow() < end);
    return codeStillRunning;
}

bool Host::alive(const std::string& name)
{
    Process& process = m_processes.at(name);
    reap(process);
    return !process.ended;
}

std::map<std::string, std::pair<double, uint64_t>> Host::usage()
{
    std::map<std::string, std::pair<double, uint64_t>> usage;
    const auto ticksPerSecond = static_cast<double>(sysconf(_SC_CLK_TCK));
    const auto pageKb = static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
    for (auto& it : m_processes) {
        std::ifstream stream("/proc/" + std::to_string(it.second.pid) + "/stat");
        std::string field;
        uint64_t ticks = 0;
        uint64_t pages = 0;
        // Fields of /proc/PID/stat, see proc(5): utime is the 14th, stime the 15th, rss (in pages) the 24th.
        for (int n = 1; n <= 24 && stream >> field; ++n) {
            if (n == 14 || n == 15)
                ticks += std::stoull(field);
            if (n == 24)
                pages = std::stoull(field);
        }
        if (alive(it.first))
            usage[it.first] = { static_cast<double>(ticks) / ticksPerSecond, pages * pageKb };
    }
    return usage;
}

size_t Host::peakMemoryKib(const std::string& name) const
{
    const std::string folder = "/proc/" + std::to_string(processNumber(name));
    // Between fork() and exec, the memory is that of the parent process.
    std::error_code error;
    if (std::filesystem::read_symlink(folder + "/exe", error) == std::filesystem::read_symlink("/proc/self/exe", error))
        return 0;
    const std::string key = "VmHWM:";
    std::ifstream status(folder + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(key))
            return std::stoul(line.substr(key.size()));
    return 0;
}

std::pair<int, std::string> Host::run(const std::string& program, const std::vector<std::string>& arguments)
{
    const std::string output = m_folder + "/run.out";
    unlink(output.c_str());
    const int pid = forkAndExec(m_programFolder + "/" + program, arguments, output);
    int state = 0;
    waitpid(pid, &state, 0);
    std::ifstream stream(output);
    std::ostringstream content;
    content << stream.rdbuf();
    return { WIFEXITED(state) ? WEXITSTATUS(state) : -WTERMSIG(state), content.str() };
}

size_t Host::startCall(http::ClientRequest request)
{
    m_calls.push_back(std::make_unique<Call>());
    Call* call = m_calls.back().get();
    call->thread = std::thread([call, request = std::move(request)] {
        http::Client client;
        call->response = client.call(request);
    });
    return m_calls.size() - 1;
}

Result<http::ClientResponse> Host::finishCall(size_t handle)
{
    Call& call = *m_calls.at(handle);
    if (call.thread.joinable())
        call.thread.join();
    return call.response;
}

void Host::link(const std::string& name, const settings::Address& listen, const settings::Address& target, Duration delay)
{
    auto added = std::make_unique<relay::Relay>(listen, target, delay);
    if (auto started = added->start(); !started)
        throw std::runtime_error(started.error().detail);
    m_links[name] = std::move(added);
}

relay::Relay& Host::findLink(const std::string& name) { return *m_links.at(name); }

} // namespace fescuegw::scenario
