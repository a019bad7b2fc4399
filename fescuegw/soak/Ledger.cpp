#include "fescuegw/soak/Ledger.h"

#include <algorithm>

namespace fescuegw::soak {

namespace {

    std::string describeRun(const StepTask& task, uint64_t run)
    {
        return task.job + "/" + std::to_string(task.step) + "/" + std::to_string(task.index) + " run " + std::to_string(run);
    }

} // namespace

void Ledger::addViolation(const std::string& promise, const std::string& detail) { m_violations.push_back({ promise, detail }); }

void Ledger::report(const std::string& promise, const std::string& detail)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    addViolation(promise, detail);
}

void Ledger::onSubmitted(const std::string& job, size_t tasks, const std::string& specification)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Job& added = m_jobs[job];
    added.tasks = tasks;
    added.specification = specification;
}

void Ledger::onAnswered(const std::string& job, CallEnd end)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Job& answered = m_jobs[job];
    ++answered.callEnds[end];
    if (end == CallEnd::Completed && answered.done.size() < answered.tasks)
        addViolation("whole answers", job + ": completed with " + std::to_string(answered.done.size()) + " tasks done");
    const auto reaches = [](const std::map<uint32_t, uint32_t>& counts, uint32_t bound) {
        return std::any_of(counts.begin(), counts.end(), [&](const auto& it) { return it.second >= bound; });
    };
    const bool hasFailedTask
        = reaches(answered.failures, m_options.maxAttempts) || reaches(answered.crashes, m_options.maxCrashes);
    if (end == CallEnd::Failed && !hasFailedTask)
        addViolation("failures have a cause",
            job + ": no task has failed " + std::to_string(m_options.maxAttempts) + " times or crashed "
                + std::to_string(m_options.maxCrashes) + " upstreams");
}

void Ledger::onUpstreamStarted(const std::string& upstream, const Resources& capacity)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    // A capacity that shrank in the life before still counts in full until its limit has passed.
    Upstream& started = m_upstreams[upstream];
    started.capacity = capacity;
    started.runs.clear();
    started.leaving = false;
}

void Ledger::onUpstreamCrashed(const std::string& upstream, const StepTask& task)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_crashes;
    ++m_jobs[task.job].crashes[task.index];
    m_upstreams[upstream].runs.clear();
}

void Ledger::onUpstreamCrashed(const std::string& upstream)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_crashes;
    m_upstreams[upstream].runs.clear();
}

Resources Ledger::Upstream::countedCapacity(TimePoint now, Duration shrinkLimit) const
{
    return now - changedAt <= shrinkLimit ? componentMax(formerCapacity, capacity) : capacity;
}

void Ledger::onCapacityChanged(TimePoint now, const std::string& upstream, const Resources& capacity)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Upstream& changed = m_upstreams[upstream];
    changed.formerCapacity = changed.countedCapacity(now, m_options.shrinkLimit);
    changed.changedAt = now;
    changed.capacity = capacity;
}

void Ledger::onUpstreamDomain(const std::string& upstream, const std::string& domain)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_upstreams[upstream].domain = domain;
}

void Ledger::onDomainDrainAcknowledged(TimePoint now, const std::string& domain)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Domain& drained = m_domains[domain];
    // The acknowledgement of a repeated order does not put the bound off.
    if (!drained.drainAcknowledgedAt)
        drained.drainAcknowledgedAt = now;
    drained.awaitsStart = false;
}

void Ledger::onDomainReturnSent(const std::string& domain)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_domains[domain].drainAcknowledgedAt.reset();
}

void Ledger::onDomainReturnAcknowledged(const std::string& domain)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_domains[domain].awaitsStart = true;
}

void Ledger::onLeavingAcknowledged(TimePoint now, const std::string& upstream)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Upstream& leaving = m_upstreams[upstream];
    if (leaving.leaving)
        return;
    leaving.leaving = true;
    leaving.leaveAcknowledgedAt = now;
}

void Ledger::onRunStarted(TimePoint now, const std::string& upstream, const StepTask& task, uint64_t run, const Resources& need,
    const std::string& specification, bool prompt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_starts;
    const std::string description = describeRun(task, run) + " on " + upstream;
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || task.step != 0 || task.index >= job->second.tasks || specification != job->second.specification) {
        addViolation("only what was asked for", description);
        return;
    }
    ++job->second.starts;
    for (const auto& other : m_upstreams)
        for (const auto& it : other.second.runs)
            if (it.task == task)
                addViolation(
                    "no two runs at a time", description + " beside run " + std::to_string(it.number) + " on " + other.first);
    const auto crashes = job->second.crashes.find(task.index);
    if (crashes != job->second.crashes.end() && crashes->second >= m_options.tooManyCrashes
        && ++job->second.startsAfterCrashes[task.index] == m_options.tooManyStarts)
        addViolation("what crashes upstreams is given up", description);
    Upstream& target = m_upstreams[upstream];
    target.runs.push_back({ task, run, need });
    Resources free = target.countedCapacity(now, m_options.shrinkLimit);
    for (const auto& it : target.runs)
        free -= it.need;
    if (free.coresMilli < 0 || free.memoryMb < 0)
        addViolation("no start over the capacity",
            description + ": " + std::to_string(-free.coresMilli) + " thousandths of a core too many");
    if (target.leaving && prompt && now - target.leaveAcknowledgedAt > m_options.drainLimit)
        addViolation("no start on an upstream that leaves", description);
    const auto domain = m_domains.find(target.domain);
    // An order that is carried out late may have been given before the drain or its withdrawal.
    if (domain == m_domains.end() || !prompt)
        return;
    domain->second.awaitsStart = false;
    const auto& drainedAt = domain->second.drainAcknowledgedAt;
    if (!drainedAt)
        return;
    if (now - *drainedAt > m_options.domainDrainLimit)
        addViolation("no start in a drained domain",
            description + " in " + target.domain + ", " + std::to_string(toMs(now - *drainedAt)) + " ms after the drain");
    else
        ++m_startsBeforeDrains;
}

void Ledger::onRunEnded(const std::string& upstream, const StepTask& task, uint64_t run, RunOutcome outcome)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Upstream& target = m_upstreams[upstream];
    const auto it = std::find_if(target.runs.begin(), target.runs.end(),
        [&](const Run& candidate) { return candidate.task == task && candidate.number == run; });
    if (it == target.runs.end())
        return;
    target.runs.erase(it);
    Job& job = m_jobs[task.job];
    if (outcome == RunOutcome::Done)
        job.done.insert(task.index);
    if (outcome == RunOutcome::Failed)
        ++job.failures[task.index];
}

void Ledger::checkAtEnd()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& it : m_jobs) {
        const auto rejected = it.second.callEnds.find(CallEnd::Rejected);
        const bool onlyRejected = it.second.callEnds.size() == 1 && rejected != it.second.callEnds.end();
        if (onlyRejected && it.second.starts > 0)
            addViolation("\"not run\" is true", it.first + ": " + std::to_string(it.second.starts) + " starts");
    }
    for (const auto& it : m_upstreams)
        for (const auto& run : it.second.runs)
            addViolation("nothing runs for nobody", describeRun(run.task, run.number) + " on " + it.first);
    for (const auto& it : m_domains)
        if (it.second.awaitsStart)
            addViolation("service returns", "nothing has started in " + it.first + " since its drain was withdrawn");
}

std::vector<Violation> Ledger::violations() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_violations;
}

std::map<CallEnd, size_t> Ledger::answers() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<CallEnd, size_t> sum;
    for (const auto& job : m_jobs)
        for (const auto& it : job.second.callEnds)
            sum[it.first] += it.second;
    return sum;
}

size_t Ledger::starts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_starts;
}

size_t Ledger::crashes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_crashes;
}

size_t Ledger::startsBeforeDrains() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_startsBeforeDrains;
}

bool Ledger::allDomainsReturned() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::none_of(m_domains.begin(), m_domains.end(), [](const auto& it) { return it.second.awaitsStart; });
}

bool Ledger::hasStarted(const std::string& job) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && it->second.starts > 0;
}

bool Ledger::isRunning(const std::string& job) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) {
        const auto& runs = upstream.second.runs;
        return std::any_of(runs.begin(), runs.end(), [&](const Run& it) { return it.task.job == job; });
    });
}

void VersionLedger::onAcknowledged(TimePoint now, uint64_t version)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_acknowledged.try_emplace(version, now);
}

uint64_t VersionLedger::acknowledged() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_acknowledged.empty() ? 0 : m_acknowledged.rbegin()->first;
}

std::string VersionLedger::faultOf(TimePoint sent, uint64_t version) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_acknowledged.upper_bound(version); it != m_acknowledged.end(); ++it)
        if (it->second + m_applyLimit <= sent)
            return "read " + std::to_string(version) + " after " + std::to_string(it->first) + " was acknowledged";
    return "";
}

} // namespace fescuegw::soak
