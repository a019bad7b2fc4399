#include "fescuegw/load/Cluster.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include <nlohmann/json.hpp>
#include <sys/stat.h>
#include <unistd.h>

namespace fescuegw::load {

namespace {

    constexpr const char* operatorToken = "operators-token";
    constexpr Duration startLimit = std::chrono::seconds(60);
    constexpr Duration pollInterval = std::chrono::milliseconds(50);
    constexpr Duration stopLimit = std::chrono::seconds(40);
    constexpr int signalTerminate = 15;
    constexpr int signalKill = 9;
    constexpr mode_t secretMode = 0600;

    settings::Address loopback() { return settings::Address { "127.0.0.1", relay::freePort() }; }

    std::string get(const settings::Address& address, const std::string& path)
    {
        http::Client client;
        http::ClientRequest request;
        request.url = "http://" + address.text() + path;
        request.headers.push_back(std::string("Authorization: Bearer ") + operatorToken);
        request.timeout = std::chrono::seconds(5);
        const auto response = client.call(request);
        return response && response->status == 200 ? response->body : "";
    }

    // Adds the values of a Prometheus text to `sums`, by name and kind.
    void addMetrics(const std::string& text, std::map<std::string, double>& sums)
    {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            if (line.empty() || line.front() == '#')
                continue;
            const size_t value = line.rfind(' ');
            const size_t brace = line.find('{');
            std::string name = line.substr(0, std::min(brace, value));
            const size_t kind = line.find("kind=\"");
            if (kind != std::string::npos)
                name += "." + line.substr(kind + 6, line.find('"', kind + 6) - kind - 6);
            sums[name] += std::stod(line.substr(value + 1));
        }
    }

} // namespace

Cluster::Cluster(const Profile& profile, scenario::Host& host)
    : m_profile(profile)
    , m_host(host)
{
}

std::string Cluster::write(const std::string& name, const std::string& text) const
{
    std::string path = m_host.folder() + "/" + name;
    std::ofstream(path, std::ios::trunc) << text;
    chmod(path.c_str(), secretMode);
    return path;
}

std::string Cluster::processSection(const std::string& name, const settings::Address& http) const
{
    return "[process]\nname = " + name + "\ndomain = local\nlog-level = warn\nhttp = " + http.text()
        + "\nkeys = " + m_host.folder() + "/keys\n";
}

settings::Address Cluster::viaRelay(const std::string& name, const settings::Address& target, Duration delay)
{
    if (delay.count() == 0)
        return target;
    settings::Address listen = loopback();
    m_host.link(name, listen, target, delay);
    return listen;
}

void Cluster::startReplicas()
{
    std::vector<settings::Address> listens;
    m_stateSection = "[state]\n";
    for (uint32_t i = 1; i <= m_profile.replicas; ++i)
        listens.push_back(loopback());
    for (uint32_t i = 1; i <= m_profile.replicas; ++i) {
        const std::string name = "state" + std::to_string(i);
        const settings::Address http = loopback();
        m_processes.push_back({ name, http });
        // A replica reaches the others, and entries reach it, through the delay between failure domains.
        std::string members = "[group]\n";
        for (uint32_t j = 1; j <= m_profile.replicas; ++j) {
            const settings::Address peer
                = i == j ? listens[j - 1] : viaRelay(name + "-state" + std::to_string(j), listens[j - 1], m_profile.domainDelay);
            members.append(std::to_string(j)).append(" = ").append(peer.text()).append("\n");
        }
        std::string text = processSection(name, http);
        text.append("[replica]\nid = ").append(std::to_string(i)).append("\nlisten = ").append(listens[i - 1].text());
        text.append("\ndata = ").append(m_host.folder()).append("/").append(name).append("\n").append(members);
        m_host.spawn(name, "fescuegw-state", { "--settings", write(name + ".ini", text) });
        const settings::Address fromEntries = viaRelay("entries-" + name, listens[i - 1], m_profile.domainDelay);
        m_stateSection += std::to_string(i) + " = " + fromEntries.text() + "\n";
    }
}

void Cluster::startEntries()
{
    for (uint32_t i = 1; i <= m_profile.entries; ++i) {
        const std::string name = "entry" + std::to_string(i);
        const settings::Address http = loopback();
        const settings::Address callers = loopback();
        m_entryListens.push_back(loopback());
        m_processes.push_back({ name, http });
        const std::string text = processSection(name, http) + "[entry]\nlisten = " + m_entryListens.back().text() + "\ncallers = "
            + callers.text() + "\noperator-token = " + m_host.folder() + "/token\nbalancer-grace-ms = 0\n" + m_stateSection;
        m_host.spawn(name, "fescuegw-entry", { "--settings", write(name + ".ini", text) });
        m_callers.push_back(viaRelay("clients-" + name, callers, m_profile.clientDelay).text());
    }
}

void Cluster::startWorkers()
{
    // One link for each entry carries the connections of all agents.
    std::string entries = "[entries]\n";
    for (uint32_t i = 1; i <= m_profile.entries; ++i)
        entries += "entry" + std::to_string(i) + " = "
            + viaRelay("agents-entry" + std::to_string(i), m_entryListens[i - 1], m_profile.domainDelay).text() + "\n";
    std::string upstreams = "[process]\nlog-level = warn\n";
    for (uint32_t i = 1; i <= m_profile.workers; ++i) {
        Worker worker { "agent" + std::to_string(i), loopback(), loopback() };
        upstreams += "[upstream up" + std::to_string(i) + "]\nservice = " + m_profile.service
            + "\nlisten = " + worker.upstream.text() + "\nagent = " + worker.agentHttp.text()
            + "\nslots = " + std::to_string(m_profile.slots) + "\n";
        const std::string text = processSection(worker.name, worker.agentHttp) + entries;
        m_host.spawn(worker.name, "fescuegw-agent", { "--settings", write(worker.name + ".ini", text) });
        m_workers.push_back(worker);
    }
    m_host.spawn("standin", "fescuegw-standin", { "--settings", write("standin.ini", upstreams) });
}

void Cluster::apply()
{
    const std::string path = write("questionnaire.ini",
        "[team]\nname = " + m_profile.team + "\nversion = 1\ntasks-in-flight = 1000000\n[service " + m_profile.service
            + "]\nurgency = high\nrepeats = none\nlate-after-ms = 60000\nrun-time-ms = 500\n");
    const TimePoint end = monotonicNow() + startLimit;
    while (
        m_host
            .run("fescuectl", { "apply", path, "--entry", m_processes.back().http.text(), "--token", m_host.folder() + "/token" })
            .first
        != 0) {
        if (monotonicNow() > end)
            throw std::runtime_error("the questionnaire can't be applied");
        usleep(static_cast<useconds_t>(pollInterval.count()));
    }
}

bool Cluster::ready()
{
    const nlohmann::json status = nlohmann::json::parse(get(m_processes.back().http, "/v1/status"), nullptr, false);
    if (!status.is_object() || status["services"].empty())
        return false;
    size_t n = 0;
    for (const auto& it : status["agents"])
        n += it["state"] == "serving" && it["configuration_version"] == status["configuration_version"] ? 1 : 0;
    return n == m_profile.workers;
}

void Cluster::start()
{
    m_host.run("fescuectl", { "keygen", m_host.folder() + "/keys" });
    write("token", operatorToken);
    startReplicas();
    startEntries();
    startWorkers();
    apply();
    const TimePoint end = monotonicNow() + startLimit;
    while (!ready()) {
        if (monotonicNow() > end)
            throw std::runtime_error("the workers do not serve");
        usleep(static_cast<useconds_t>(pollInterval.count()));
    }
}

void Cluster::injectFault()
{
    const nlohmann::json status = nlohmann::json::parse(get(m_processes.back().http, "/v1/status"), nullptr, false);
    if (m_profile.fault == "fail") {
        http::Client client;
        http::ClientRequest request;
        request.method = "PUT";
        request.url = "http://" + m_workers.front().upstream.text() + "/v1/fault";
        request.body = "fail";
        (void)client.call(request);
    } else if (m_profile.fault == "kill-agent") {
        m_host.signal(m_workers.front().name, signalKill);
    } else if (m_profile.fault == "kill-entry" && status.is_object()) {
        const auto owner = status["services"][0]["owner"].get<std::string>();
        m_host.signal(owner.substr(0, owner.find('/')), signalKill);
    } else if (m_profile.fault == "kill-state" && status.is_object()) {
        m_host.signal("state" + std::to_string(status["group"]["leader"].get<int>()), signalKill);
    }
}

ClusterCounts Cluster::counts()
{
    ClusterCounts counts;
    for (const auto& it : m_workers) {
        const nlohmann::json starts = nlohmann::json::parse(get(it.upstream, "/v1/starts"), nullptr, false);
        if (starts.is_object()) {
            counts.starts += starts["starts"].get<uint64_t>();
            counts.doubled += starts["doubled"].get<uint64_t>();
        }
        addMetrics(get(it.agentHttp, "/metrics"), counts.metrics);
    }
    for (const auto& it : m_processes)
        addMetrics(get(it.http, "/metrics"), counts.metrics);
    return counts;
}

std::map<std::string, std::pair<double, uint64_t>> Cluster::usage() { return m_host.usage(); }

void Cluster::stop()
{
    for (const auto& it : m_workers)
        m_host.signal(it.name, signalTerminate);
    for (const auto& it : m_workers)
        m_host.wait(it.name, stopLimit);
    m_host.signal("standin", signalTerminate);
    m_host.wait("standin", stopLimit);
    // Entries before the replicas that they need to hand over.
    for (const char* role : { "entry", "state" }) {
        for (const auto& it : m_processes)
            if (it.name.starts_with(role))
                m_host.signal(it.name, signalTerminate);
        for (const auto& it : m_processes)
            if (it.name.starts_with(role))
                m_host.wait(it.name, stopLimit);
    }
}

} // namespace fescuegw::load
