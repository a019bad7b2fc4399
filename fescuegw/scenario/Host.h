// What scenarios written in Lua can do: start, stop and freeze processes, call them by HTTP, cut the links between them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fescuegw/http/Client.h"
#include "fescuegw/relay/Relay.h"

namespace fescuegw::scenario {

// The processes, links and calls of one scenario. All are ended with it. Not thread-safe.
class Host {
public:
    // Programs are taken from `programs`; files go to `folder`.
    Host(std::string programs, std::string folder);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;
    Host(Host&&) = delete;
    Host& operator=(Host&&) = delete;

    const std::string& folder() const { return m_folder; }

    // Starts `program` under `name`; its output goes to NAME.out in the folder.
    void spawn(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);
    void signal(const std::string& name, int number);
    // Returns the exit code, minus the signal that ended it, or -1000 when it still runs after `timeout`.
    int wait(const std::string& name, Duration timeout);
    bool alive(const std::string& name);

    // Returns the processor seconds and resident kilobytes of each running process, by name.
    std::map<std::string, std::pair<double, uint64_t>> usage();

    // Runs a program to its end and returns its exit code and output.
    std::pair<int, std::string> run(const std::string& program, const std::vector<std::string>& arguments);

    // Starts a call in the background and returns its handle.
    size_t startCall(http::ClientRequest);
    Result<http::ClientResponse> finishCall(size_t handle);

    void link(const std::string& name, const settings::Address& listen, const settings::Address& target, Duration delay);
    relay::Relay& findLink(const std::string& name);

private:
    struct Process {
        int pid = 0;
        bool ended = false;
        int code = 0;
    };
    struct Call {
        std::thread thread;
        Result<http::ClientResponse> response;
    };

    void reap(Process&);

    std::string m_programs;
    std::string m_folder;
    std::map<std::string, Process> m_processes;
    std::vector<std::unique_ptr<Call>> m_calls;
    std::map<std::string, std::unique_ptr<relay::Relay>> m_links;
};

} // namespace fescuegw::scenario
