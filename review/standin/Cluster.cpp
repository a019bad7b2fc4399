#include "review/standin/Cluster.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fescuegw::review {

using nlohmann::json;
using platform::CallFault;
using platform::HttpAnswer;
using platform::HttpConnection;

namespace {

    constexpr uint16_t linkPort = 7720;
    // Where an entry listens whose agents come through a relay.
    constexpr uint16_t relayedPort = 7721;
    constexpr uint16_t callerPort = 8161;
    constexpr uint16_t controlPort = 8166;
    constexpr uint16_t readinessPort = 8167;
    constexpr uint16_t workerPort = 8360;
    constexpr uint16_t metricsPort = 9464;
    constexpr uint32_t seedCount = 3;
    constexpr uint32_t taskMemoryMb = 64;
    constexpr uint32_t routeTimeoutMs = 12000;
    constexpr int statusOk = 200;
    constexpr Duration operatorTimeout = std::chrono::milliseconds(1000);
    constexpr Duration retryInterval = std::chrono::milliseconds(100);
    constexpr mode_t fileMode = 0600;
    constexpr int exitExecFailed = 127;
    constexpr const char* host = "novo13.example";
    constexpr const char* prefix = "/volo102/";
    constexpr const char* service = "raport";

    const char* nameOf(Role role) { return role == Role::State ? "state" : role == Role::Entry ? "entry" : "agent"; }

    std::string line(const std::string& key, const std::string& value) { return key + " = " + value + "\n"; }

    std::string configuration()
    {
        const json route = {
            { "name", "r-1" },
            { "host", host },
            { "pathPrefix", prefix },
            { "kind", "unsafe" },
            { "timeoutMs", routeTimeoutMs },
            { "targetLatencyMs", 60 },
            { "priority", 0 },
            { "service", service },
            { "maxAttempts", 2 },
            { "stretch", 1.6 },
        };
        const json known = {
            { "name", service },
            { "healthCheckPath", "/health" },
            { "maxConnections", 64 },
            { "protocol", "h1" },
            { "tls", false },
            { "rejectsOverload", false },
            { "standby", false },
        };
        const json limits = {
            { "maxHeaderBytes", 16384 },
            { "maxBodyBytes", 262144 },
            { "headerTimeoutMs", 3000 },
            { "idleTimeoutMs", 15000 },
        };
        return json { { "version", 1 }, { "routes", { route } }, { "services", { known } }, { "limits", limits } }.dump();
    }

} // namespace

std::string newJobId()
{
    constexpr size_t digits = 16;
    return contentDigest(std::to_string(randomIdentity())).substr(0, digits);
}

Cluster::Cluster(ClusterOptions options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
{
    const uint64_t drawn = randomIdentity();
    m_network = "127." + std::to_string(1 + drawn % 250) + "." + std::to_string((drawn >> 16U) % 250) + ".";
}

Cluster::~Cluster()
{
    for (auto& it : m_processes)
        end(it.second);
    m_workers.clear();
}

void Cluster::end(Process& process) const
{
    if (process.pid <= 0)
        return;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = 0;
}

settings::Address Cluster::address(Role role, uint32_t index, uint16_t port) const
{
    constexpr uint32_t firstReplica = 1;
    constexpr uint32_t firstEntry = 20;
    constexpr uint32_t firstAgent = 60;
    const uint32_t first = role == Role::State ? firstReplica : role == Role::Entry ? firstEntry : firstAgent;
    return { m_network + std::to_string(first + index), port };
}

settings::Address Cluster::callerAddress(uint32_t entry) const { return address(Role::Entry, entry, callerPort); }

// As the templates of the deploy file render them.
std::string Cluster::settingsOf(Role role, uint32_t index, bool firstStart) const
{
    const auto at = [&](uint16_t port) { return address(role, index, port).text(); };
    std::string seeds;
    for (uint32_t i = 0; i < seedCount; ++i)
        seeds += (i == 0 ? "" : ",") + address(Role::State, i, controlPort).text();
    std::string text = "[process]\n" + line("name", std::string(nameOf(role)) + std::to_string(index))
        + line("domain", "pl-central-a") + line("http", at(metricsPort)) + line("keys", "none") + "[formation]\n"
        + line("seeds", seeds) + line("seed-port", std::to_string(linkPort));
    if (role == Role::State)
        return text + line("first-start", firstStart ? "yes" : "no")
            + line("tolerated-losses", std::to_string(m_options.toleratedLosses)) + "[replica]\n" + line("listen", at(linkPort))
            + line("data", m_options.folder + "/disk" + std::to_string(index)) + line("election-timeout-ms", "250")
            + "[platform]\n" + line("listen", at(controlPort));
    if (role == Role::Agent)
        return text + "[platform]\n" + line("listen", at(controlPort)) + line("upstream", at(workerPort));
    const std::string listen
        = index == 0 ? line("listen", at(relayedPort)) + line("advertise", at(linkPort)) : line("listen", at(linkPort));
    return text + "[entry]\n" + listen + "[platform]\n" + line("listen", at(callerPort)) + line("readiness", at(readinessPort));
}

void Cluster::spawn(Role role, uint32_t index, bool firstStart)
{
    const std::string name = nameOf(role) + std::to_string(index);
    const std::string file = m_options.folder + "/" + name + ".ini";
    std::ofstream(file) << settingsOf(role, index, firstStart);
    if (role == Role::State)
        std::filesystem::create_directories(m_options.folder + "/disk" + std::to_string(index));
    const std::string output = m_options.folder + "/" + name + ".out";
    std::string roleName = nameOf(role);
    const std::string variable = "FESCUEGW_BOOT=" + file;
    const int pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int descriptor = open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, fileMode);
        dup2(descriptor, STDOUT_FILENO);
        dup2(descriptor, STDERR_FILENO);
        std::array<char*, 3> arguments { m_options.program.data(), roleName.data(), nullptr };
        std::array<char*, 2> environment { const_cast<char*>(variable.c_str()), nullptr };
        execve(m_options.program.c_str(), arguments.data(), environment.data());
        _exit(exitExecFailed);
    }
    m_processes[name].pid = pid;
}

void Cluster::signal(Role role, uint32_t index, int number)
{
    Process& process = m_processes.at(nameOf(role) + std::to_string(index));
    if (number == SIGKILL)
        end(process);
    else
        kill(process.pid, number);
}

void Cluster::loseReplica(uint32_t index)
{
    signal(Role::State, index, SIGKILL);
    const std::string disk = m_options.folder + "/disk" + std::to_string(index);
    std::filesystem::remove_all(disk);
    std::filesystem::create_directories(disk);
}

bool Cluster::start()
{
    for (uint32_t i = 0; i < m_options.replicas; ++i)
        spawn(Role::State, i, true);
    m_agentLinks = std::make_unique<relay::Relay>(
        address(Role::Entry, 0, linkPort), address(Role::Entry, 0, relayedPort), std::chrono::milliseconds(0));
    bool started = m_agentLinks->start().has_value();
    for (uint32_t i = 0; i < m_options.entries; ++i)
        spawn(Role::Entry, i, true);
    for (uint32_t i = 0; i < m_options.agents; ++i) {
        WorkerOptions worker;
        worker.name = "i-" + contentDigest("worker" + std::to_string(i)).substr(0, 10);
        worker.service = service;
        worker.listen = address(Role::Agent, i, workerPort);
        worker.agent = address(Role::Agent, i, controlPort);
        worker.seed = i;
        m_workers.push_back(std::make_unique<Worker>(worker, m_record));
        started = m_workers.back()->start().has_value() && started;
        spawn(Role::Agent, i, true);
    }
    return started;
}

bool Cluster::configure(TimePoint due)
{
    const std::string body = configuration();
    for (uint32_t i = 0; monotonicNow() < due; ++i) {
        settings::Address peer = address(Role::State, i % (m_options.replicas + 1), controlPort);
        for (int hop = 0; hop < 3; ++hop) {
            HttpConnection connection(peer);
            HttpAnswer answer;
            const auto fault = connection.call("PUT", "/v1/configuration", "", body, operatorTimeout, answer);
            if (fault == CallFault::None && answer.status == statusOk) {
                m_record.write(monotonicNow(), "the configuration is acknowledged by " + peer.text());
                return true;
            }
            const auto location = answer.location.find("//");
            if (answer.status != 307 || location == std::string::npos)
                break;
            const std::string next = answer.location.substr(location + 2, answer.location.find('/', location + 2) - location - 2);
            peer = settings::parseAddress(next).value_or(peer);
        }
        std::this_thread::sleep_for(retryInterval);
    }
    m_record.write(monotonicNow(), "the configuration isn't acknowledged");
    return false;
}

bool Cluster::serves(TimePoint due)
{
    for (uint32_t i = 0; i < m_options.entries; ++i)
        if (!servesAt(i, due))
            return false;
    return true;
}

bool Cluster::servesAt(uint32_t entry, TimePoint due)
{
    constexpr uint32_t probeMs = 10;
    constexpr uint32_t patienceMs = 1000;
    constexpr uint32_t tasksPerAgent = 4;
    while (monotonicNow() < due) {
        if (submit(callerAddress(entry), { newJobId(), { { tasksPerAgent * m_options.agents, probeMs, probeMs } }, patienceMs })
            == JobEnd::Completed)
            return true;
        std::this_thread::sleep_for(retryInterval);
    }
    return false;
}

JobEnd Cluster::submit(const settings::Address& entry, const Job& job)
{
    json steps = json::array();
    std::string specification;
    for (const auto& it : job.steps) {
        json step = {
            { "count", it.tasks },
            { "cpu", it.cpuMilli },
            { "memoryRequestMb", taskMemoryMb },
            { "estimatedRuntimeMs", it.estimateMs },
        };
        if (!steps.empty())
            step["after"] = json::array({ steps.size() - 1 });
        steps.push_back(std::move(step));
        specification += std::to_string(it.workMs) + " ";
    }
    const json body = { { "specification", specification }, { "steps", steps }, { "bestEffort", true } };
    const std::string headers
        = std::string("Host: ") + host + "\r\nX-Remaining-Milliseconds: " + std::to_string(job.patienceMs) + "\r\n";
    m_record.write(monotonicNow(), "a client sends job " + job.id + " to " + entry.text());
    HttpConnection connection(entry);
    HttpAnswer answer;
    const auto fault
        = connection.call("POST", prefix + job.id, headers, body.dump(), std::chrono::milliseconds(job.patienceMs), answer);
    const std::string got = fault == CallFault::None ? std::to_string(answer.status) + " " + answer.body
        : fault == CallFault::TimedOut               ? "no answer in time"
                                                     : "a broken connection";
    m_record.write(monotonicNow(), "the client of job " + job.id + " gets " + got);
    constexpr int statusTooMany = 429;
    constexpr int statusBadGateway = 502;
    constexpr int statusUnavailable = 503;
    constexpr int statusTimeout = 504;
    if (fault != CallFault::None || answer.status == statusBadGateway || answer.status == statusTimeout)
        return JobEnd::Unclear;
    if (answer.status == statusTooMany || answer.status == statusUnavailable)
        return JobEnd::Refused;
    return answer.status == statusOk ? JobEnd::Completed : JobEnd::Other;
}

int Cluster::cancel(const settings::Address& entry, const std::string& id)
{
    m_record.write(monotonicNow(), "the client sends a DELETE of job " + id + " to " + entry.text());
    HttpConnection connection(entry);
    HttpAnswer answer;
    const std::string headers = std::string("Host: ") + host + "\r\n";
    if (connection.call("DELETE", prefix + id, headers, "", operatorTimeout, answer) != CallFault::None)
        answer.status = 0;
    m_record.write(monotonicNow(), "the DELETE of job " + id + " gets " + std::to_string(answer.status));
    return answer.status;
}

} // namespace fescuegw::review
