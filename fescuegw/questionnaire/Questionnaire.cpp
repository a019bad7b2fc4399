#include "fescuegw/questionnaire/Questionnaire.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <vector>

#include "fescuegw/base/Types.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::questionnaire {

namespace {

    constexpr const char* teamSection = "team";
    constexpr std::string_view servicePrefix = "service ";
    constexpr uint32_t milliPerCore = 1000;
    constexpr uint64_t maxCores = 1024;
    constexpr uint64_t maxMs = 3600ULL * 1000;
    constexpr uint32_t minQueueLimit = 1000;
    // Queued tasks allowed per millisecond of the latency target.
    constexpr uint32_t queueLimitPerTargetMs = 4;

    const std::vector<std::string> urgencies { "low", "normal", "high", "critical" };

    struct RepeatBudgets {
        uint32_t retryPercent = 0;
        uint32_t hedgePercent = 0;
    };

    // Retries and hedged requests per 100 requests for each answer to "repeats".
    const std::map<std::string, RepeatBudgets> repeatBudgets {
        { "none", { 0, 0 } },
        { "some", { 10, 2 } },
        { "any", { 20, 5 } },
    };

    wire::ServiceConfiguration planService(settings::Document& answers, const std::string& section, const std::string& name)
    {
        wire::ServiceConfiguration service;
        service.set_name(name);
        if (!isValidName(name))
            answers.reject(section, "urgency", "a section name of 'service' and a valid name");
        const std::string urgency = answers.choiceOr(section, "urgency", urgencies, "normal");
        const auto rank = std::find(urgencies.begin(), urgencies.end(), urgency) - urgencies.begin();
        service.set_urgency(static_cast<uint32_t>(rank) + 1);
        const std::string repeats = answers.choiceOr(section, "repeats", { "none", "some", "any" }, "none");
        const RepeatBudgets& budgets = repeatBudgets.at(repeats);
        service.set_retry_budget_percent(budgets.retryPercent);
        service.set_hedge_budget_percent(budgets.hedgePercent);
        service.set_expected_run_ms(static_cast<uint32_t>(answers.numberOr(section, "run-time-ms", 300, 1, maxMs)));
        service.set_target_ms(static_cast<uint32_t>(answers.numberOr(section, "late-after-ms", 30000, 1, maxMs)));
        service.set_cores_milli(static_cast<uint32_t>(answers.numberOr(section, "cores", 1, 0, maxCores)) * milliPerCore);
        service.set_memory_mb(static_cast<uint32_t>(answers.numberOr(section, "memory-mb", 0, 0)));
        service.set_queue_limit(std::max(minQueueLimit, queueLimitPerTargetMs * service.target_ms()));
        // The callers are recorded under version control with the other answers; no setting is derived from them yet.
        answers.textOr(section, "callers", "");
        return service;
    }

    using SettingLines = std::map<std::string, std::string>;

    SettingLines formatSettings(const wire::TeamConfiguration& configuration)
    {
        SettingLines lines;
        lines["version"] = std::to_string(configuration.version());
        lines["share"] = std::to_string(configuration.share());
        lines["tasks_in_flight_limit"] = std::to_string(configuration.tasks_in_flight_limit());
        for (const auto& it : configuration.services()) {
            const std::string prefix = "service." + it.name() + ".";
            lines[prefix + "urgency"] = std::to_string(it.urgency());
            lines[prefix + "target_ms"] = std::to_string(it.target_ms());
            lines[prefix + "expected_run_ms"] = std::to_string(it.expected_run_ms());
            lines[prefix + "cores_milli"] = std::to_string(it.cores_milli());
            lines[prefix + "memory_mb"] = std::to_string(it.memory_mb());
            lines[prefix + "retry_budget_percent"] = std::to_string(it.retry_budget_percent());
            lines[prefix + "hedge_budget_percent"] = std::to_string(it.hedge_budget_percent());
            lines[prefix + "queue_limit"] = std::to_string(it.queue_limit());
        }
        return lines;
    }

} // namespace

tl::expected<wire::TeamConfiguration, std::string> plan(const std::string& file, const std::string& text)
{
    auto answers = settings::Document::fromText(file, text);
    if (!answers)
        return tl::unexpected(answers.error());
    wire::TeamConfiguration configuration;
    configuration.set_team(answers->name(teamSection, "name"));
    if (!answers->has(teamSection, "version"))
        answers->reject(teamSection, "version", "a whole number from 1; the key is missing");
    configuration.set_version(answers->numberOr(teamSection, "version", 1, 1));
    configuration.set_share(static_cast<uint32_t>(answers->numberOr(teamSection, "share", 1, 1, 1000)));
    configuration.set_tasks_in_flight_limit(static_cast<uint32_t>(answers->numberOr(teamSection, "tasks-in-flight", 100000, 1)));
    for (const auto& section : answers->sections())
        if (section.starts_with(servicePrefix))
            *configuration.add_services() = planService(*answers, section, section.substr(servicePrefix.size()));
    if (configuration.services().empty())
        answers->reject(teamSection, "name", "at least one section [service NAME] beside the team");
    const std::string error = answers->finish();
    if (!error.empty())
        return tl::unexpected(error);
    return configuration;
}

std::string describe(const wire::TeamConfiguration& configuration)
{
    std::ostringstream out;
    for (const auto& it : formatSettings(configuration))
        out << it.first << " = " << it.second << '\n';
    return out.str();
}

} // namespace fescuegw::questionnaire
