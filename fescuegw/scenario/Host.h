// The operations available to Lua scenarios: start, signal and await processes, send HTTP requests, control network links.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fescuegw/http/Client.h"
#include "fescuegw/relay/Relay.h"

namespace fescuegw::scenario {

// Owns the processes, links and HTTP calls of one scenario. The destructor kills running processes and waits for unfinished
// calls. Not thread-safe.
class Host {
public:
    // Programs are looked up in the folder `programs`; files are written to `folder`.
    Host(std::string programs, std::string folder);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;
    Host(Host&&) = delete;
    Host& operator=(Host&&) = delete;

    const std::string& folder() const { return m_folder; }

    // Starts `program` as the process `name`, with stdout and stderr appended to NAME.out in the folder. Throws
    // std::runtime_error if fork() fails; if exec fails, the process exits with code 127.
    void spawn(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);
    void signal(const std::string& name, int number);
    // Returns the exit code, the negated number of the signal that ended the process, or -1000 if it still runs after `timeout`.
    int wait(const std::string& name, Duration timeout);
    bool alive(const std::string& name);
    // Returns the process number of `name`.
    int processNumber(const std::string& name) const { return m_processes.at(name).pid; }

    // Returns the CPU time in seconds and the resident memory in KiB of each running process, by name.
    std::map<std::string, std::pair<double, uint64_t>> usage();

    // Returns the peak of the process's resident memory in KiB; 0 if it has ended or is not executing its program yet.
    size_t peakMemoryKib(const std::string& name) const;

    // Runs a program to completion and returns its exit code (or negated signal number) and its output.
    std::pair<int, std::string> run(const std::string& program, const std::vector<std::string>& arguments);

    // Sends a request on a background thread and returns a handle for finishCall().
    size_t startCall(http::ClientRequest);
    Result<http::ClientResponse> finishCall(size_t handle);

    void link(const std::string& name, const settings::Address& listen, const settings::Address& target, Duration delay);
    relay::Relay& findLink(const std::string& name);

private:
    struct Process {
        int pid = 0;
        bool ended = false;
        int exitCode = 0;
    };
    struct Call {
        std::thread thread;
        Result<http::ClientResponse> response;
    };

    void reap(Process&);

    std::string m_programFolder;
    std::string m_folder;
    std::map<std::string, Process> m_processes;
    std::vector<std::unique_ptr<Call>> m_calls;
    std::map<std::string, std::unique_ptr<relay::Relay>> m_links;
};

} // namespace fescuegw::scenario
