// Model-based test of dispatching: owners, agents and the registry run in virtual time under crashes, freezes, takeovers and
// broken links. An oracle counts task starts and compares outcomes.
#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "fescuegw/agent/TaskTable.h"
#include "fescuegw/dispatch/ServiceDispatcher.h"
#include "fescuegw/registry/Registry.h"

namespace fescuegw::dispatch {

namespace {

    constexpr const char* serviceName = "pondkeep";
    constexpr const char* teamName = "mizutama";
    constexpr uint32_t slotsPerAgent = 3;
    constexpr int statusConflict = 409;

    enum class OperationKind : uint8_t {
        Advance,
        Submit,
        SubmitRepeatable,
        Resubmit,
        SubmitConflicting,
        Cancel,
        Takeover,
        FreezeOwner,
        CrashOwner,
        CrashAgent,
        BreakLink,
        DelayLink,
        FailTasks,
        RefuseTasks,
        LeaveUpstream,
    };

    struct Operation {
        OperationKind kind = OperationKind::Advance;
        uint32_t target = 0;
        uint32_t amount = 0;
    };

    void showValue(const Operation& op, std::ostream& out)
    {
        static const char* const names[]
            = { "Advance", "Submit", "SubmitRepeatable", "Resubmit", "SubmitConflicting", "Cancel", "Takeover", "FreezeOwner",
                  "CrashOwner", "CrashAgent", "BreakLink", "DelayLink", "FailTasks", "RefuseTasks", "LeaveUpstream" };
        out << names[static_cast<size_t>(op.kind)] << '(' << op.target << ',' << op.amount << ')';
    }

    rc::Gen<Operation> genOperation()
    {
        const auto kind = rc::gen::weightedElement<OperationKind>(
            { { 25, OperationKind::Advance }, { 20, OperationKind::Submit }, { 4, OperationKind::SubmitRepeatable },
                { 8, OperationKind::Resubmit }, { 2, OperationKind::SubmitConflicting }, { 3, OperationKind::Cancel },
                { 4, OperationKind::Takeover }, { 4, OperationKind::FreezeOwner }, { 4, OperationKind::CrashOwner },
                { 4, OperationKind::CrashAgent }, { 6, OperationKind::BreakLink }, { 4, OperationKind::DelayLink },
                { 2, OperationKind::FailTasks }, { 2, OperationKind::RefuseTasks }, { 2, OperationKind::LeaveUpstream } });
        return rc::gen::map(
            rc::gen::tuple(kind, rc::gen::inRange<uint32_t>(0, 64), rc::gen::inRange<uint32_t>(0, 300)), [](const auto& it) {
                return Operation { std::get<0>(it), std::get<1>(it), std::get<2>(it) };
            });
    }

    struct Owner {
        std::string name;
        std::shared_ptr<ServiceDispatcher> dispatcher;
        TimePoint frozenUntil;
    };

    struct Agent {
        AgentId id;
        std::unique_ptr<agent::TaskTable> table;
        std::string owner;
        TimePoint failUntil;
        TimePoint refuseUntil;
        TimePoint leaveUntil;
        // Tasks running on the upstream, with the agent incarnation that started each.
        std::map<agent::TaskId, uint64_t> running;
    };

    struct Link {
        TimePoint downUntil;
        TimePoint delayedUntil;
        // Incremented when the link breaks; messages of older generations are dropped.
        uint64_t generation = 0;
        TimePoint lastOut;
        TimePoint lastIn;
    };

    class Simulation {
    public:
        explicit Simulation(uint32_t seed)
            : m_random(seed)
            , m_now(std::chrono::seconds(100))
        {
            m_team.set_team(teamName);
            m_team.set_version(1);
            m_team.set_share(1);
            m_team.set_tasks_in_flight_limit(100000);
            wire::ServiceConfiguration* service = m_team.add_services();
            service->set_name(serviceName);
            service->set_expected_run_ms(50);
            service->set_queue_limit(100000);
            service->set_retry_budget_percent(50);
            service->set_hedge_budget_percent(20);
            for (const char* it : { "entry1/1", "entry2/1", "entry3/1" })
                m_owners.push_back(Owner { it, nullptr, m_now });
            for (const char* it : { "agent1", "agent2", "agent3" }) {
                Agent agent;
                agent.id = { it, 1 };
                agent.table = std::make_unique<agent::TaskTable>(1);
                m_agents.push_back(std::move(agent));
            }
            takeOver(0);
            scheduleTick();
            for (size_t i = 0; i < m_agents.size(); ++i)
                scheduleReport(i);
            advance(std::chrono::seconds(2));
        }

        void run(const Operation& op)
        {
            Agent& agent = m_agents[op.target % m_agents.size()];
            const Duration time = std::chrono::milliseconds(20 * op.amount);
            switch (op.kind) {
            case OperationKind::Advance:
                advance(time);
                break;
            case OperationKind::Submit:
                submit("job" + std::to_string(m_nextJob++), 1 + op.amount % 12, "", true);
                break;
            case OperationKind::SubmitRepeatable:
                submit("request" + std::to_string(m_nextJob++), 1, "", false);
                break;
            case OperationKind::Resubmit:
                if (m_nextJob > 0)
                    resubmit("job" + std::to_string(op.target % m_nextJob), "");
                break;
            case OperationKind::SubmitConflicting:
                if (m_nextJob > 0)
                    resubmit("job" + std::to_string(op.target % m_nextJob), "other");
                break;
            case OperationKind::Cancel:
                if (m_nextJob > 0 && owner().dispatcher && owner().frozenUntil <= m_now)
                    owner().dispatcher->cancel(m_now, { teamName, "job" + std::to_string(op.target % m_nextJob) });
                break;
            case OperationKind::Takeover:
                takeOver(op.target % m_owners.size());
                break;
            case OperationKind::FreezeOwner:
                owner().frozenUntil = m_now + time;
                break;
            case OperationKind::CrashOwner:
                crashOwner();
                takeOver(op.target % m_owners.size());
                break;
            case OperationKind::CrashAgent:
                restartAgent(agent);
                break;
            case OperationKind::BreakLink:
                breakLink(owner().name, agent, time);
                break;
            case OperationKind::DelayLink:
                link(owner().name, agent.id.name).delayedUntil = m_now + time;
                break;
            case OperationKind::FailTasks:
                agent.failUntil = m_now + time;
                break;
            case OperationKind::RefuseTasks:
                agent.refuseUntil = m_now + time;
                break;
            case OperationKind::LeaveUpstream:
                agent.leaveUntil = m_now + time;
                break;
            }
            advance(std::chrono::milliseconds(1));
        }

        void healAndVerify()
        {
            for (auto& it : m_owners)
                it.frozenUntil = std::min(it.frozenUntil, m_now);
            for (auto& it : m_links) {
                it.second.downUntil = std::min(it.second.downUntil, m_now);
                it.second.delayedUntil = std::min(it.second.delayedUntil, m_now);
            }
            for (auto& it : m_agents) {
                it.failUntil = std::min(it.failUntil, m_now);
                it.refuseUntil = std::min(it.refuseUntil, m_now);
                it.leaveUntil = std::min(it.leaveUntil, m_now);
            }
            advance(std::chrono::seconds(60));
            // Every claim has an outcome.
            RC_ASSERT(m_registry.openClaims(serviceName).empty());
            for (const auto& it : m_reportedNotRun)
                RC_ASSERT(!m_starts.contains(it));
        }

        size_t completed() const { return m_completed; }

    private:
        struct Event {
            TimePoint due;
            uint64_t order = 0;
            std::function<void()> run;

            bool operator<(const Event& other) const { return due != other.due ? due > other.due : order > other.order; }
        };

        void scheduleAt(TimePoint due, std::function<void()> run)
        {
            m_events.push(Event { due, ++m_eventOrder, std::move(run) });
        }
        Duration randomDelay() { return std::chrono::microseconds(500 + m_random() % 3000); }

        // Runs `body` on an owner's dispatcher if it still exists, once its process is not frozen.
        void runOnOwner(TimePoint due, const std::string& name, const std::weak_ptr<ServiceDispatcher>& weak,
            const std::function<void(ServiceDispatcher&)>& body)
        {
            scheduleAt(due, [this, name, weak, body] {
                const auto dispatcher = weak.lock();
                if (!dispatcher)
                    return;
                const TimePoint frozenUntil = findOwner(name).frozenUntil;
                if (frozenUntil > m_now) {
                    runOnOwner(frozenUntil, name, weak, body);
                    return;
                }
                body(*dispatcher);
                dispatcher->flush(m_now);
            });
        }

        Owner& findOwner(const std::string& name)
        {
            return *std::find_if(m_owners.begin(), m_owners.end(), [&name](const Owner& it) { return it.name == name; });
        }

        Owner& owner() { return m_owners[m_ownerIndex]; }
        Link& link(const std::string& owner, const std::string& agent) { return m_links[{ owner, agent }]; }

        DispatchHooks hooks(const std::string& name)
        {
            DispatchHooks hooks;
            hooks.sendToAgent = [this, name](const AgentId& agent, const wire::EntryToAgent& m) { sendToAgent(name, agent, m); };
            hooks.propose = [this, name](const wire::Command& command, const ResultHook& hook) { propose(name, command, hook); };
            hooks.fetchOpenClaims = [this, name](const std::string& service, uint64_t epoch, const ClaimsHook& hook) {
                // Called from the constructor, before the dispatcher is assigned to its owner.
                scheduleAt(m_now + randomDelay(), [this, name, service, epoch, hook] {
                    wire::OpenClaimsReply reply;
                    reply.set_current(m_registry.ownerships().at(service).epoch() == epoch);
                    for (const auto& it : m_registry.openClaims(service))
                        *reply.add_claims() = it;
                    Owner& fetching = findOwner(name);
                    if (fetching.dispatcher && fetching.dispatcher->epoch() == epoch)
                        runOnOwner(m_now + randomDelay(), name, fetching.dispatcher,
                            [this, hook, reply](ServiceDispatcher&) { hook(m_now, reply); });
                });
            };
            hooks.lookup = [](const SubmissionKey&, const LookupHook& hook) { hook({}, {}); };
            return hooks;
        }

        void propose(const std::string& name, const wire::Command& command, const ResultHook& hook)
        {
            const std::weak_ptr<ServiceDispatcher> weak = findOwner(name).dispatcher;
            // Applied even if the sender is frozen, since the command may already be in transit. Loss is not modelled, because
            // a lost command is resent until it is answered.
            scheduleAt(m_now + randomDelay() + randomDelay(), [this, name, weak, command, hook] {
                wire::CommandBatch batch;
                *batch.add_commands() = command;
                const wire::CommandResult result = m_registry.apply(batch).front();
                runOnOwner(m_now + randomDelay(), name, weak, [this, hook, result](ServiceDispatcher&) { hook(m_now, result); });
            });
        }

        void takeOver(size_t index)
        {
            wire::CommandBatch batch;
            wire::Ownership* next = batch.add_commands()->mutable_assign();
            next->set_service(serviceName);
            next->set_owner(m_owners[index].name);
            next->set_epoch(++m_epoch);
            m_registry.apply(batch);
            const Owner& former = owner();
            if (former.dispatcher)
                runOnOwner(
                    m_now + randomDelay() * 20, former.name, former.dispatcher, [](ServiceDispatcher& it) { it.relinquish(); });
            if (former.dispatcher && index != m_ownerIndex)
                m_supersededDispatchers.emplace_back(former.name, former.dispatcher);
            owner().dispatcher.reset();
            m_ownerIndex = index;
            // An entry that regains the service drops its earlier dispatchers.
            std::erase_if(m_supersededDispatchers, [this, index](const auto& it) { return it.first == m_owners[index].name; });
            std::set<AgentId> enrolled;
            const wire::View view = m_registry.view();
            for (const auto& it : view.enrolments())
                enrolled.insert(AgentId { it.agent(), it.incarnation() });
            DispatchOptions options;
            options.entry = m_owners[index].name;
            owner().dispatcher
                = std::make_shared<ServiceDispatcher>(m_now, options, serviceName, m_epoch, enrolled, hooks(options.entry));
            for (size_t i = 0; i < m_agents.size(); ++i)
                scheduleAt(m_now + randomDelay(), [this, i] { report(i); });
        }

        void crashOwner()
        {
            for (const auto& it : m_agents)
                breakLink(owner().name, it, std::chrono::milliseconds(500));
            owner().dispatcher.reset();
            owner().frozenUntil = m_now;
        }

        void breakLink(const std::string& owner, const Agent& agent, Duration down)
        {
            Link& broken = link(owner, agent.id.name);
            ++broken.generation;
            broken.downUntil = m_now + down;
        }

        void sendToAgent(const std::string& name, const AgentId& id, const wire::EntryToAgent& m)
        {
            Link& used = link(name, id.name);
            std::weak_ptr<ServiceDispatcher> weak = findOwner(name).dispatcher;
            for (const auto& it : m_supersededDispatchers)
                if (it.second->epoch() == m.epoch())
                    weak = it.second;
            if (used.downUntil > m_now) {
                runOnOwner(m_now, name, weak, [this, id, m](ServiceDispatcher& it) { it.onUndeliverable(m_now, id, m); });
                return;
            }
            used.lastOut = std::max({ used.lastOut, m_now + randomDelay(), used.delayedUntil });
            scheduleAt(used.lastOut, [this, name, id, m, generation = used.generation] {
                if (link(name, id.name).generation != generation)
                    return;
                for (size_t i = 0; i < m_agents.size(); ++i)
                    if (m_agents[i].id == id)
                        receiveOnAgent(i, name, m);
            });
        }

        void sendToOwner(const std::string& name, size_t index, const wire::AgentToEntry& m)
        {
            const AgentId id = m_agents[index].id;
            Link& used = link(name, id.name);
            if (used.downUntil > m_now)
                return;
            used.lastIn = std::max({ used.lastIn, m_now + randomDelay(), used.delayedUntil });
            scheduleAt(used.lastIn, [this, name, id, m, generation = used.generation] {
                if (link(name, id.name).generation != generation)
                    return;
                std::shared_ptr<ServiceDispatcher> receiver = findOwner(name).dispatcher;
                for (const auto& it : m_supersededDispatchers)
                    if (it.first == name)
                        receiver = it.second;
                if (receiver)
                    runOnOwner(m_now, name, receiver,
                        [this, id, m](ServiceDispatcher& dispatcher) { receiveOnOwner(dispatcher, id, m); });
            });
        }

        void receiveOnOwner(ServiceDispatcher& dispatcher, const AgentId& id, const wire::AgentToEntry& m)
        {
            if (m.has_report())
                dispatcher.onReport(m_now, id, m.report());
            if (m.has_held())
                dispatcher.onHeld(m_now, id, m.held());
            if (m.results_size() > 0)
                dispatcher.onResults(m_now, id, { m.results().begin(), m.results().end() });
        }

        bool serving(const Agent& agent) const { return agent.leaveUntil <= m_now; }

        void receiveOnAgent(size_t index, const std::string& from, const wire::EntryToAgent& m)
        {
            Agent& agent = m_agents[index];
            const agent::Capacity capacity { serviceName, slotsPerAgent, serving(agent) };
            const agent::Decision decision = agent.table->decide(toMicros(m_now), m, capacity);
            if (!decision.ignored)
                agent.owner = from;
            for (const auto& it : decision.starts)
                startTask(index, it);
            for (const auto& it : decision.stops)
                agent.running.erase(it);
            if (!decision.refusals.empty()) {
                wire::AgentToEntry refusals;
                for (const auto& it : decision.refusals)
                    *refusals.add_results() = it;
                sendToOwner(from, index, refusals);
            }
            if (decision.collect) {
                wire::AgentToEntry held;
                *held.mutable_held() = agent.table->held();
                sendToOwner(from, index, held);
            }
            for (const auto& it : decision.stops)
                endTask(index, agent.id.incarnation, it, false, Verdict::MayHaveRun);
        }

        void startTask(size_t index, const wire::TaskDispatch& task)
        {
            Agent& agent = m_agents[index];
            const agent::TaskId id { { task.key().team(), task.key().submission() }, task.key().index() };
            const uint64_t incarnation = agent.id.incarnation;
            if (agent.refuseUntil > m_now) {
                scheduleAt(m_now + randomDelay(),
                    [this, index, incarnation, id] { endTask(index, incarnation, id, false, Verdict::NotRun); });
                return;
            }
            const uint64_t starts = ++m_starts[id];
            if (task.durable())
                RC_ASSERT(starts == 1U);
            agent.running[id] = incarnation;
            const bool fails = agent.failUntil > m_now;
            const Duration run = fails ? randomDelay() : std::chrono::milliseconds(20 + m_random() % 400);
            scheduleAt(
                m_now + run, [this, index, incarnation, id, fails] { endTask(index, incarnation, id, !fails, Verdict::Ran); });
        }

        void endTask(size_t index, uint64_t incarnation, const agent::TaskId& id, bool succeeded, Verdict verdict)
        {
            Agent& agent = m_agents[index];
            const auto it = agent.running.find(id);
            if (verdict == Verdict::Ran && (it == agent.running.end() || it->second != incarnation))
                return;
            if (it != agent.running.end())
                agent.running.erase(it);
            if (agent.id.incarnation != incarnation || !agent.table->knows(id))
                return;
            wire::AgentToEntry results;
            *results.add_results()
                = agent.table->finish(id, succeeded, verdict, succeeded ? "" : "failed", succeeded ? outputOf(id) : "", 1000);
            if (!agent.owner.empty())
                sendToOwner(agent.owner, index, results);
        }

        static std::string outputOf(const agent::TaskId& id) { return id.submission.id + "#" + std::to_string(id.index); }

        void restartAgent(Agent& agent)
        {
            for (const auto& it : m_owners)
                breakLink(it.name, agent, std::chrono::milliseconds(50));
            agent.id.incarnation += 1;
            agent.table = std::make_unique<agent::TaskTable>(agent.id.incarnation);
            agent.owner.clear();
        }

        void report(size_t index)
        {
            Agent& agent = m_agents[index];
            std::vector<agent::UpstreamTask> tasks;
            for (const auto& it : agent.running)
                tasks.push_back({ it.first, it.second });
            agent.table->onUpstreamTasks(tasks);
            wire::AgentToEntry message;
            wire::AgentReport& report = *message.mutable_report();
            report.set_service(serviceName);
            report.set_state(serving(agent) ? wire::SERVING : wire::LEAVING);
            report.set_slots(slotsPerAgent);
            report.set_cores_milli(64000);
            report.set_memory_mb(1024);
            report.set_clock_us(toMicros(m_now));
            report.set_running(agent.table->running());
            report.set_unreleased(agent.table->unreleased());
            report.set_received_sequence(agent.table->sequence());
            report.set_foreign_running(agent.table->foreignRunning());
            for (const auto& it : m_owners)
                sendToOwner(it.name, index, message);
        }

        void scheduleReport(size_t index)
        {
            report(index);
            scheduleAt(m_now + std::chrono::milliseconds(900 + m_random() % 200), [this, index] { scheduleReport(index); });
        }

        void tickSuperseded()
        {
            for (const auto& it : m_supersededDispatchers)
                if (findOwner(it.first).frozenUntil <= m_now) {
                    it.second->tick(m_now);
                    it.second->flush(m_now);
                }
        }

        void scheduleTick()
        {
            tickSuperseded();
            for (auto& it : m_owners)
                if (it.dispatcher && it.frozenUntil <= m_now) {
                    it.dispatcher->tick(m_now);
                    it.dispatcher->flush(m_now);
                }
            scheduleAt(m_now + std::chrono::milliseconds(50), [this] { scheduleTick(); });
        }

        SubmissionSpec spec(const std::string& id, uint32_t tasks, const std::string& variant, bool durable) const
        {
            SubmissionSpec spec;
            spec.key = { teamName, id };
            spec.service = serviceName;
            spec.digest = id + "/" + std::to_string(tasks) + variant;
            spec.durable = durable;
            for (uint32_t i = 0; i < tasks; ++i) {
                wire::TaskInput task;
                task.set_index(i);
                task.set_cores_milli(1000);
                spec.tasks.push_back(task);
            }
            return spec;
        }

        void submit(const std::string& id, uint32_t tasks, const std::string& variant, bool durable)
        {
            m_sizes.try_emplace(id, tasks);
            // A frozen owner accepts no submissions.
            if (!owner().dispatcher || owner().frozenUntil > m_now)
                return;
            owner().dispatcher->submit(m_now, spec(id, tasks, variant, durable), m_team, m_now + std::chrono::seconds(1000),
                [this, id, tasks, variant](const Reply& reply) { onReply(id, tasks, variant, reply); });
        }

        void resubmit(const std::string& id, const std::string& variant)
        {
            const auto size = m_sizes.find(id);
            if (size != m_sizes.end())
                submit(id, size->second, variant, true);
        }

        void onReply(const std::string& id, uint32_t tasks, const std::string& variant, const Reply& reply)
        {
            if (reply.kind == Reply::Kind::Refused) {
                // Conflicting content under the same id: the one that came first runs.
                if (reply.error.status == statusConflict)
                    return;
                RC_ASSERT(reply.error.verdict != Verdict::NotRun || !m_starts.contains({ { teamName, id }, 0 }));
            }
            if (reply.kind != Reply::Kind::Done)
                return;
            const wire::Outcome& outcome = reply.outcome;
            RC_ASSERT(outcome.id() == id);
            RC_ASSERT(outcome.tasks_size() == static_cast<int>(tasks));
            std::string content;
            for (const auto& it : outcome.tasks()) {
                const agent::TaskId task { { teamName, id }, it.index() };
                content += it.output() + "|" + it.reason() + "|" + std::to_string(it.verdict()) + ";";
                if (outcome.complete()) {
                    RC_ASSERT(it.output() == outputOf(task));
                    RC_ASSERT(m_starts.contains(task));
                } else if (it.verdict() == wire::NOT_RUN) {
                    m_reportedNotRun.insert(task);
                }
            }
            m_completed += outcome.complete() ? 1 : 0;
            // All callers receive the same outcome.
            const auto first = m_outcomes.try_emplace(id + variant, content);
            RC_ASSERT(first.first->second == content);
        }

        void advance(Duration time)
        {
            const TimePoint end = m_now + time;
            while (!m_events.empty() && m_events.top().due <= end) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = std::max(m_now, event.due);
                event.run();
            }
            m_now = end;
            for (auto& it : m_owners)
                if (it.dispatcher && it.frozenUntil <= m_now)
                    it.dispatcher->flush(m_now);
        }

        std::mt19937 m_random;
        TimePoint m_now;
        uint64_t m_eventOrder = 0;
        std::priority_queue<Event> m_events;
        registry::Registry m_registry;
        wire::TeamConfiguration m_team;
        std::vector<Owner> m_owners;
        // Dispatchers that may not have learned yet that they are superseded.
        std::vector<std::pair<std::string, std::shared_ptr<ServiceDispatcher>>> m_supersededDispatchers;
        std::vector<Agent> m_agents;
        std::map<std::pair<std::string, std::string>, Link> m_links;
        size_t m_ownerIndex = 0;
        uint64_t m_epoch = 0;
        size_t m_nextJob = 0;
        size_t m_completed = 0;
        std::map<std::string, uint32_t> m_sizes;
        std::map<agent::TaskId, uint64_t> m_starts;
        std::set<agent::TaskId> m_reportedNotRun;
        std::map<std::string, std::string> m_outcomes;
    };

} // namespace

// No task of a durable submission starts twice. Each caller gets the outcome of its own submission, either complete or failed,
// and the same one every time. A task reported as not run never ran. No claim stays open.
Test(dispatchModel, invariantsHoldUnderFaults)
{
    const bool held = rc::check("invariants hold under faults", [] {
        const auto seed = *rc::gen::arbitrary<uint32_t>();
        const auto ops = *rc::gen::resize(50, rc::gen::container<std::vector<Operation>>(genOperation()));
        Simulation simulation(seed);
        for (const auto& it : ops)
            simulation.run(it);
        simulation.healAndVerify();
        RC_CLASSIFY(simulation.completed() > 0, "completed");
    });
    cr_assert(held);
}

} // namespace fescuegw::dispatch
