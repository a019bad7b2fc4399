// fescuegw-load: runs an experiment and prints response times against the ideal, and wasted messages.
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "fescuegw/daemon/Daemon.h"
#include "fescuegw/load/Baseline.h"
#include "fescuegw/load/Callers.h"
#include "fescuegw/load/Cluster.h"

using namespace fescuegw;
using nlohmann::json;

namespace {

namespace options = boost::program_options;

// Response times of the measured jobs divided by the ideal's.
std::vector<double> ratios(
    const std::vector<load::Job>& jobs, const std::vector<Duration>& responses, const std::vector<Duration>& ideal)
{
    std::vector<double> values;
    for (size_t i = 0; i < jobs.size(); ++i)
        if (jobs[i].measured && !jobs[i].cancelled && responses[i].count() > 0)
            values.push_back(static_cast<double>(responses[i].count()) / static_cast<double>(ideal[i].count()));
    return values;
}

json quantiles(const std::vector<double>& values)
{
    return { { "p50", load::quantile(values, 0.5) }, { "p90", load::quantile(values, 0.9) },
        { "p99", load::quantile(values, 0.99) }, { "p999", load::quantile(values, 0.999) }, { "jobs", values.size() } };
}

struct Wasted {
    std::map<std::string, double> kinds;
    double perTask = 0;
};

// Messages by kind, as the difference of two readings, that started no task whose answer was used.
Wasted wastedMessages(const load::ClusterCounts& before, const load::ClusterCounts& after)
{
    static const std::map<std::string, std::string> kinds { { "refused", "fescuegw_entry_refused" },
        { "retried", "fescuegw_entry_retried" }, { "hedged", "fescuegw_entry_hedged" },
        { "stray", "fescuegw_entry_stray_results" }, { "collects", "fescuegw_entry_collects" },
        { "releases", "fescuegw_entry_release_messages" }, { "cancels", "fescuegw_entry_cancels" },
        { "reports", "fescuegw_agent_reports_total" } };
    Wasted wasted;
    const auto read = [](const load::ClusterCounts& counts, const std::string& name) {
        const auto it = counts.metrics.find(name);
        return it == counts.metrics.end() ? 0.0 : it->second;
    };
    double sum = 0;
    for (const auto& it : kinds) {
        // The counters of a killed process are gone; what is left is a lower bound then.
        wasted.kinds[it.first] = std::max(0.0, read(after, it.second) - read(before, it.second));
        sum += wasted.kinds[it.first];
    }
    wasted.perTask = sum / std::max(1.0, static_cast<double>(after.starts - before.starts));
    return wasted;
}

void plot(const std::string& path, const std::map<std::string, std::vector<double>>& series)
{
    const std::string data = path + ".dat";
    std::ofstream stream(data);
    std::string commands = "set terminal svg size 800,500 background 'white'\nset output '" + path
        + "'\nset logscale x\nset xlabel 'response time / ideal'\nset ylabel 'share of jobs'\nset key bottom right\nset "
          "grid\nset yrange [0:1]\nplot ";
    size_t index = 0;
    for (const auto& it : series) {
        std::vector<double> values = it.second;
        std::sort(values.begin(), values.end());
        for (size_t i = 0; i < values.size(); ++i)
            stream << values[i] << ' ' << static_cast<double>(i + 1) / static_cast<double>(values.size()) << '\n';
        stream << "\n\n";
        commands += (index == 0 ? "" : ", ")
            + ("'" + data + "' index " + std::to_string(index) + " with lines title '" + it.first + "'");
        ++index;
    }
    stream.close();
    FILE* gnuplot = popen("gnuplot", "w");
    if (gnuplot == nullptr)
        return;
    fputs(commands.c_str(), gnuplot);
    pclose(gnuplot);
    std::filesystem::remove(data);
}

struct Tally {
    size_t complete = 0;
    size_t failed = 0;
    size_t refused = 0;
    size_t unanswered = 0;
    size_t partial = 0;
    size_t foreign = 0;
};

Tally tally(const std::vector<load::CallResult>& results)
{
    Tally tally;
    for (const auto& it : results) {
        tally.complete += it.complete ? 1 : 0;
        tally.failed += it.status == 200 && !it.complete ? 1 : 0;
        tally.refused += it.status >= 400 ? 1 : 0;
        tally.unanswered += it.status == 0 || it.status == 202 ? 1 : 0;
        tally.partial += it.partial ? 1 : 0;
        tally.foreign += it.foreign ? 1 : 0;
    }
    return tally;
}

// Returns the starts that no job explains but those that were told "not run".
uint64_t falseNotRun(const std::vector<load::Job>& jobs, const std::vector<load::CallResult>& results, uint64_t starts)
{
    uint64_t explained = 0;
    for (size_t i = 0; i < jobs.size(); ++i)
        if (results[i].verdict != "not-run")
            explained += jobs[i].runs.size();
    return starts > explained ? starts - explained : 0;
}

int run(const load::Profile& profile, const std::string& programs, const std::string& output)
{
    std::string folder = std::filesystem::temp_directory_path() / "fescuegw-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr)
        return daemon::exitFailure;
    const std::vector<load::Job> jobs = load::makeJobs(profile);
    size_t tasks = 0;
    for (const auto& it : jobs)
        tasks += it.runs.size();
    scenario::Host host(programs, folder);
    load::Cluster cluster(profile, host);
    cluster.start();
    const load::ClusterCounts before = cluster.counts();
    const auto usageBefore = cluster.usage();
    const TimePoint started = monotonicNow();
    bool injected = profile.fault == "none";
    const std::vector<load::CallResult> results = load::sendJobs(profile, jobs, cluster.callers(), [&](Duration time) {
        if (injected || time < profile.warmUp + profile.length / 2)
            return;
        injected = true;
        cluster.injectFault();
    });
    const double seconds = static_cast<double>((monotonicNow() - started).count()) / 1e6;
    const load::ClusterCounts after = cluster.counts();
    const auto usageAfter = cluster.usage();
    cluster.stop();

    // To the owner and to its worker and back.
    const Duration roundTrips = 2 * profile.clientDelay + 2 * profile.domainDelay;
    const uint32_t slots = profile.workers * profile.slots;
    const std::vector<Duration> ideal = load::idealResponses(jobs, slots, roundTrips);
    std::vector<Duration> responses;
    responses.reserve(results.size());
    for (const auto& it : results)
        responses.push_back(it.complete ? it.response : Duration(0));
    std::map<std::string, std::vector<double>> series;
    series["fescuegw"] = ratios(jobs, responses, ideal);
    const Duration age = std::chrono::milliseconds(100);
    series["random"] = ratios(jobs, load::boundResponses(jobs, profile, load::Policy::Random, age, roundTrips), ideal);
    series["round robin"] = ratios(jobs, load::boundResponses(jobs, profile, load::Policy::RoundRobin, age, roundTrips), ideal);
    series["two choices"] = ratios(jobs, load::boundResponses(jobs, profile, load::Policy::TwoChoices, age, roundTrips), ideal);
    const Wasted wasted = wastedMessages(before, after);
    const Tally sums = tally(results);
    const uint64_t starts = after.starts - before.starts;
    const uint64_t notRun = falseNotRun(jobs, results, starts);

    json report = { { "profile", profile.name }, { "seed", profile.seed }, { "jobs", jobs.size() }, { "tasks", tasks },
        { "seconds", seconds }, { "starts", starts }, { "doubled", after.doubled }, { "complete", sums.complete },
        { "failed", sums.failed }, { "refused", sums.refused }, { "unanswered", sums.unanswered }, { "partial", sums.partial },
        { "foreign", sums.foreign }, { "false_not_run", notRun }, { "wasted_per_task", wasted.perTask },
        { "wasted", wasted.kinds } };
    std::cout << std::fixed << std::setprecision(3) << "policy          p50     p90     p99   p99.9   (response time / ideal)\n";
    for (const auto& it : series) {
        report["ratio"][it.first] = quantiles(it.second);
        std::cout << std::left << std::setw(12) << it.first << std::right;
        for (const double q : { 0.5, 0.9, 0.99, 0.999 })
            std::cout << std::setw(8) << load::quantile(it.second, q);
        std::cout << '\n';
    }
    std::cout << "process         cpu%    memory MB\n";
    std::map<std::string, std::pair<double, uint64_t>> byRole;
    for (const auto& it : usageAfter) {
        const double cpu = (it.second.first - (usageBefore.contains(it.first) ? usageBefore.at(it.first).first : 0)) / seconds;
        report["processes"][it.first] = { { "cpu", cpu }, { "memory_kb", it.second.second } };
        if (it.first.starts_with("agent") && it.first != "agent1")
            continue;
        std::cout << std::left << std::setw(12) << it.first << std::right << std::setw(8) << cpu * 100 << std::setw(10)
                  << static_cast<double>(it.second.second) / 1024 << '\n';
    }
    for (const auto& it : after.metrics) {
        const auto was = before.metrics.find(it.first);
        report["metrics"][it.first] = it.second - (was == before.metrics.end() ? 0 : was->second);
    }
    for (const auto& it : results)
        if (!it.complete)
            report["reasons"][std::to_string(it.status) + " " + it.reason]
                = report["reasons"].value(std::to_string(it.status) + " " + it.reason, 0) + 1;
    for (size_t i = 0; i < jobs.size(); ++i)
        if (jobs[i].measured)
            report["rows"].push_back({ jobs[i].runs.size(), responses[i].count(), ideal[i].count() });
    if (!output.empty()) {
        std::ofstream(output + ".json") << report.dump(2) << '\n';
        plot(output + ".svg", series);
    }
    const std::vector<double>& own = series["fescuegw"];
    std::cout << "profile=" << profile.name << " seed=" << profile.seed << " tasks=" << tasks
              << " p50=" << load::quantile(own, 0.5) << " p90=" << load::quantile(own, 0.9)
              << " p99=" << load::quantile(own, 0.99) << " p999=" << load::quantile(own, 0.999) << " wasted=" << wasted.perTask
              << " complete=" << sums.complete << " failed=" << sums.failed << " refused=" << sums.refused
              << " unanswered=" << sums.unanswered << " doubled=" << after.doubled << " partial=" << sums.partial
              << " foreign=" << sums.foreign << " false_not_run=" << notRun << std::endl;
    std::filesystem::remove_all(folder);
    return after.doubled + sums.partial + sums.foreign + notRun == 0 ? 0 : daemon::exitFailure;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("fescuegw-load: runs an experiment on a cluster of its own on loopback\n\nOptions");
    description.add_options()("profile", options::value<std::string>(), "the profile (INI); see examples/load")(
        "output", options::value<std::string>()->default_value(""), "write PATH.json and PATH.svg")("help", "print this text");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
    } catch (const options::error& error) {
        std::cerr << "fescuegw-load: " << error.what() << '\n';
        return daemon::exitUsage;
    }
    if (arguments.count("profile") == 0) {
        std::cout << description << '\n';
        return arguments.count("help") > 0 ? 0 : daemon::exitUsage;
    }
    auto document = settings::Document::fromFile(arguments["profile"].as<std::string>());
    if (!document) {
        std::cerr << document.error() << '\n';
        return daemon::exitUsage;
    }
    const load::Profile profile = load::readProfile(*document);
    const std::string fault = document->finish();
    if (!fault.empty()) {
        std::cerr << fault << '\n';
        return daemon::exitUsage;
    }
    http::initialiseClients();
    try {
        const std::string programs = std::filesystem::path(argv[0]).parent_path().string();
        return run(profile, programs, arguments["output"].as<std::string>());
    } catch (const std::exception& error) {
        std::cerr << "fescuegw-load: " << error.what() << '\n';
        return daemon::exitFailure;
    }
}
