#include "fescuegw/dispatch/Submission.h"

#include <algorithm>

#include "fescuegw/wire/Verdicts.h"

namespace fescuegw::dispatch {

namespace {

    // Attempts without an answer after which a repeatable task fails: it may crash every upstream that runs it.
    constexpr uint32_t maxUnclearEnds = 3;

} // namespace

Submission::Submission(TimePoint now, SubmissionSpec spec)
    : m_spec(std::move(spec))
    , m_submitted(now)
    , m_tasks(m_spec.tasks.size())
{
    for (size_t i = 0; i < m_tasks.size(); ++i)
        m_queued.push_back(static_cast<int>(i));
    // The last task to end determines the completion time, so the longest are started first (LPT rule, Graham 1969).
    std::stable_sort(m_queued.begin(), m_queued.end(), [this](int a, int b) { return input(a).run_ms() > input(b).run_ms(); });
}

Submission::Submission(TimePoint now, const wire::Claim& claim, std::set<AgentId> agents)
    : m_submitted(now)
    , m_phase(Phase::Running)
    , m_agents(std::move(agents))
{
    m_spec.key = { claim.team(), claim.id() };
    m_spec.service = claim.service();
    m_spec.digest = claim.digest();
    m_spec.tasks.assign(claim.tasks().begin(), claim.tasks().end());
    m_spec.traceparent = claim.traceparent();
    m_tasks.resize(m_spec.tasks.size());
    for (auto& it : m_tasks)
        it.state = TaskState::Unresolved;
}

int Submission::position(uint32_t index) const
{
    const auto before = [](const wire::TaskInput& it, uint32_t n) { return it.index() < n; };
    const auto it = std::lower_bound(m_spec.tasks.begin(), m_spec.tasks.end(), index, before);
    return it == m_spec.tasks.end() || it->index() != index ? -1 : static_cast<int>(it - m_spec.tasks.begin());
}

uint32_t Submission::beginAttempt(TimePoint now, int position, const AgentId& agent)
{
    Task& started = task(position);
    if (started.state == TaskState::Queued)
        std::erase(m_queued, position);
    started.state = TaskState::Dispatched;
    const uint32_t number = started.nextAttempt++;
    started.attempts.push_back(Attempt { number, agent, now });
    m_agents.insert(agent);
    return number;
}

bool Submission::adoptAttempt(TimePoint now, int position, const AgentId& agent, uint32_t number)
{
    Task& adopted = task(position);
    if (adopted.state != TaskState::Unresolved)
        return false;
    adopted.state = TaskState::Dispatched;
    adopted.attempts.push_back(Attempt { number, agent, now });
    adopted.nextAttempt = std::max(adopted.nextAttempt, number + 1);
    return true;
}

bool Submission::removeAttempt(Task& ended, uint32_t attempt)
{
    return std::erase_if(ended.attempts, [attempt](const Attempt& it) { return it.number == attempt; }) > 0;
}

bool Submission::endNotRun(int position, uint32_t attempt)
{
    Task& ended = task(position);
    if (!removeAttempt(ended, attempt) || ended.state != TaskState::Dispatched || !ended.attempts.empty())
        return false;
    ended.state = TaskState::Queued;
    m_queued.push_front(position);
    return true;
}

bool Submission::succeed(int position, uint32_t attempt, std::string output)
{
    Task& ended = task(position);
    if (!removeAttempt(ended, attempt) || ended.state != TaskState::Dispatched)
        return false;
    ended.output = std::move(output);
    settle(ended, TaskState::Succeeded, Verdict::Ran, "");
    return true;
}

bool Submission::fail(int position, uint32_t attempt, Verdict verdict, const std::string& reason, bool retry)
{
    Task& ended = task(position);
    if (!removeAttempt(ended, attempt) || ended.state != TaskState::Dispatched)
        return false;
    ended.mayHaveRun = true;
    ended.unclearEnds += verdict == Verdict::MayHaveRun ? 1 : 0;
    // Another attempt, the hedge or the original, is still outstanding and may succeed.
    if (!ended.attempts.empty())
        return true;
    if (retry && !m_spec.durable && ended.unclearEnds < maxUnclearEnds) {
        ended.state = TaskState::Queued;
        m_queued.push_front(position);
        return true;
    }
    settle(ended, TaskState::Failed, verdict, reason);
    return true;
}

void Submission::settle(Task& ended, TaskState state, Verdict verdict, const std::string& reason)
{
    ended.state = state;
    ended.verdict = verdict;
    ended.reason = reason;
    ++m_settled;
    if (state != TaskState::Failed || m_failed)
        return;
    m_failed = true;
    m_reason = reason;
}

void Submission::resolve(bool startable, const std::string& reason)
{
    for (size_t i = 0; i < m_tasks.size(); ++i) {
        if (m_tasks[i].state != TaskState::Unresolved)
            continue;
        if (startable) {
            m_tasks[i].state = TaskState::Queued;
            m_queued.push_back(static_cast<int>(i));
        } else {
            settle(m_tasks[i], TaskState::Failed, Verdict::MayHaveRun, reason);
        }
    }
}

void Submission::abandon(const std::string& reason)
{
    for (auto& it : m_tasks) {
        if (it.state == TaskState::Succeeded || it.state == TaskState::Failed)
            continue;
        const bool notRun = it.state == TaskState::Queued && !it.mayHaveRun;
        settle(it, TaskState::Failed, notRun ? Verdict::NotRun : Verdict::MayHaveRun, reason);
    }
    m_queued.clear();
}

wire::Outcome Submission::outcome() const
{
    wire::Outcome outcome;
    outcome.set_team(m_spec.key.team);
    outcome.set_id(m_spec.key.id);
    outcome.set_service(m_spec.service);
    outcome.set_complete(!m_failed);
    outcome.set_reason(m_reason);
    for (size_t i = 0; i < m_tasks.size(); ++i) {
        wire::TaskOutcome* it = outcome.add_tasks();
        it->set_index(m_spec.tasks[i].index());
        it->set_succeeded(m_tasks[i].state == TaskState::Succeeded);
        it->set_verdict(wire::toWire(m_tasks[i].verdict));
        it->set_reason(m_tasks[i].reason);
        if (!m_failed)
            it->set_output(m_tasks[i].output);
    }
    return outcome;
}

} // namespace fescuegw::dispatch
