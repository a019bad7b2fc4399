// Load patterns replayed against the classes that decide in entries and agents, in virtual time and with fixed seeds.
#include <cstdio>
#include <ctime>

#include <criterion/criterion.h>

#include "fescuegw/logging/Log.h"
#include "fescuegw/model/LoadModel.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::model;

// The mix of the users' sheets: quick checks, long plans, alerts.
std::vector<JobClass> mix()
{
    return { { "check", 34.4, 8, std::chrono::milliseconds(60), 0 }, { "plan", 6.25, 4, std::chrono::milliseconds(900), 2 },
        { "alert", 100, 2, std::chrono::milliseconds(200), 1 } };
}

// Thousandths of a core times seconds that one job of the mix takes on average.
double meanWork()
{
    double work = 0;
    double weight = 0;
    for (const auto& it : mix()) {
        work += it.weight * it.tasks * static_cast<double>(it.run / std::chrono::milliseconds(1)) / 1000 * 6200;
        weight += it.weight;
    }
    return work / weight;
}

// A fleet whose load at rest takes `share` of its capacity.
ModelOptions fleet(size_t entries, size_t agents, double share, uint64_t seed)
{
    ModelOptions options;
    options.seed = seed;
    options.entries = entries;
    options.agents = agents;
    options.classes = mix();
    options.jobsPerSecond = share * 64000 * static_cast<double>(agents) / meanWork();
    return options;
}

void print(const char* what, const ModelOptions& options, const LoadModel& model)
{
    const ClassCount sum = model.counters().total();
    const double jobs = std::max<double>(1, static_cast<double>(sum.asked));
    std::printf("%s entries=%zu agents=%zu jobs=%llu in_time=%.3f late=%.3f refused=%.3f entry_messages_per_job=%.1f "
                "agent_messages_per_job=%.1f\n",
        what, options.entries, options.agents, static_cast<unsigned long long>(sum.asked), static_cast<double>(sum.inTime) / jobs,
        static_cast<double>(sum.late) / jobs, static_cast<double>(sum.refused) / jobs,
        static_cast<double>(model.counters().entryMessages) / jobs, static_cast<double>(model.counters().agentMessages) / jobs);
}

double shareInTime(const LoadModel& model)
{
    const ClassCount sum = model.counters().total();
    return static_cast<double>(sum.inTime) / static_cast<double>(sum.asked);
}

void checkRules(const LoadModel& model)
{
    cr_assert_eq(model.counters().overCapacity, 0);
    cr_assert_eq(model.counters().doubled, 0);
    cr_assert_gt(model.counters().starts, 0);
}

void quiet() { logging::initialise("model", "error", ""); }

} // namespace

TestSuite(LoadModel, .init = quiet);

Test(LoadModel, atRest)
{
    const ModelOptions options = fleet(4, 11, 0.64, 1);
    LoadModel model(options);
    model.run(std::chrono::seconds(2));
    model.resetCounters();
    model.run(std::chrono::seconds(10));
    print("at_rest", options, model);
    checkRules(model);
    cr_assert_geq(shareInTime(model), 0.99);
}

Test(LoadModel, burstOfEverything)
{
    const ModelOptions options = fleet(12, 75, 0.64, 2);
    LoadModel model(options);
    model.run(std::chrono::seconds(2));
    model.resetCounters();
    model.setLoad(1.3);
    const std::clock_t begin = std::clock();
    model.run(std::chrono::seconds(4));
    std::printf("cpu %.2f s\n", static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
    print("burst_1.3", options, model);
    checkRules(model);
}
