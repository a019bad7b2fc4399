// Tests an agent that reconnects with the same incarnation after its owner has declared it lost.
#include <vector>

#include <criterion/criterion.h>

#include "fescuegw/agent/TaskTable.h"
#include "fescuegw/dispatch/ServiceDispatcher.h"

namespace fescuegw::dispatch {

namespace {

    constexpr uint64_t epoch = 1;

    // An owner and one agent. Commands are accepted at once, there are no open claims, and messages to the agent stay in order.
    class Fixture {
    public:
        Fixture()
            : m_dispatcher(m_now, {}, "pondkeep", epoch, {}, hooks())
        {
            m_loaded(m_now, currentClaims());
        }

        static wire::OpenClaimsReply currentClaims()
        {
            wire::OpenClaimsReply reply;
            reply.set_current(true);
            return reply;
        }

        DispatchHooks hooks()
        {
            DispatchHooks hooks;
            hooks.sendToAgent = [this](const AgentId&, const wire::EntryToAgent& m) { m_sent.push_back(m); };
            hooks.propose = [this](const wire::Command& command, const ResultHook& hook) {
                if (command.has_outcome() && m_outcomesWait)
                    return;
                wire::CommandResult result;
                result.set_code(wire::ACCEPTED);
                hook(m_now, result);
            };
            hooks.fetchOpenClaims = [this](const std::string&, uint64_t, const ClaimsHook& hook) { m_loaded = hook; };
            hooks.lookup = [](const SubmissionKey&, const LookupHook&) {};
            return hooks;
        }

        void report()
        {
            wire::AgentReport report;
            report.set_service("pondkeep");
            report.set_state(wire::SERVING);
            report.set_slots(4);
            report.set_cores_milli(64000);
            report.set_memory_mb(1024);
            report.set_clock_us(toMicros(m_now));
            report.set_running(m_table.running());
            report.set_received_sequence(m_table.sequence());
            m_dispatcher.onReport(m_now, m_agent, report);
            exchange();
        }

        // Delivers the pending messages to the agent, and its answers to the owner.
        void exchange()
        {
            m_dispatcher.flush(m_now);
            std::vector<wire::EntryToAgent> messages;
            messages.swap(m_sent);
            for (const auto& it : messages) {
                const agent::Decision decision = m_table.decide(toMicros(m_now), it, { "pondkeep", 4, true });
                m_ignored += decision.ignored ? 1 : 0;
                m_stops += decision.stops.size();
                if (decision.collect)
                    m_dispatcher.onHeld(m_now, m_agent, m_table.held());
            }
        }

        void advance(Duration time)
        {
            m_now += time;
            m_dispatcher.tick(m_now);
            m_sent.clear();
        }

        void changeConfiguration(int n)
        {
            for (int i = 0; i < n; ++i) {
                m_dispatcher.setConfigurationVersion(++m_configurationVersion);
                exchange();
            }
        }

        bool agentIsReady() const
        {
            const auto it = m_dispatcher.upstreams().find(m_agent);
            return it != m_dispatcher.upstreams().end() && it->second.ready();
        }

        TimePoint m_now { std::chrono::seconds(100) };
        AgentId m_agent { "agent1", 1 };
        agent::TaskTable m_table { 1 };
        std::vector<wire::EntryToAgent> m_sent;
        ClaimsHook m_loaded;
        uint64_t m_configurationVersion = 0;
        int m_ignored = 0;
        size_t m_stops = 0;
        // Outcomes are not decided, as without a majority of the state group.
        bool m_outcomesWait = false;
        ServiceDispatcher m_dispatcher;
    };

} // namespace

// The link is silent for longer than the lease. The agent has received messages of the same epoch and ignores any that are not
// newer, so the owner must continue the sequence instead of restarting it.
Test(agentReturn, firstReportMakesAgentReadyAgain)
{
    Fixture it;
    it.report();
    it.changeConfiguration(20);
    cr_assert(it.agentIsReady());
    it.advance(std::chrono::seconds(4));
    cr_assert(it.m_dispatcher.upstreams().empty());
    it.report();
    cr_assert_eq(it.m_ignored, 0);
    cr_assert(it.agentIsReady());
}

// A message sent before the agent was lost may still arrive. The agent must ignore it once it has listed the tasks it holds,
// because the owner then assumes that unlisted tasks never start.
Test(agentReturn, delayedMessageIsIgnoredAfterReturn)
{
    Fixture it;
    it.report();
    it.changeConfiguration(5);
    it.m_dispatcher.setConfigurationVersion(++it.m_configurationVersion);
    it.m_dispatcher.flush(it.m_now);
    cr_assert_eq(it.m_sent.size(), 1U);
    const wire::EntryToAgent delayed = it.m_sent.front();
    it.advance(std::chrono::seconds(4));
    it.report();
    cr_assert(it.agentIsReady());
    cr_assert(it.m_table.decide(toMicros(it.m_now), delayed, { "pondkeep", 4, true }).ignored);
}

// The cancel of a running task is lost with the link, and the outcome of its submission is not yet durable when the agent lists
// the task: it is cancelled again instead of running to its end.
Test(agentReturn, aLostCancelOfAFinishingSubmissionIsRepeated)
{
    Fixture it;
    it.report();
    SubmissionSpec spec;
    spec.key = { "team", "job" };
    spec.service = "pondkeep";
    spec.tasks.emplace_back().set_run_ms(100);
    wire::TeamConfiguration team;
    team.set_share(1);
    team.set_tasks_in_flight_limit(10);
    wire::ServiceConfiguration& service = *team.add_services();
    service.set_name(spec.service);
    service.set_expected_run_ms(100);
    service.set_queue_limit(10);
    it.m_dispatcher.submit(it.m_now, spec, team, it.m_now + std::chrono::seconds(60), [](const Reply&) {});
    it.m_dispatcher.tick(it.m_now);
    it.exchange();
    cr_assert_eq(it.m_table.running(), 1U);
    it.m_outcomesWait = true;
    cr_assert(it.m_dispatcher.cancel(it.m_now, spec.key));
    it.m_dispatcher.flush(it.m_now);
    cr_assert_eq(it.m_sent.size(), 1U);
    it.m_dispatcher.onUndeliverable(it.m_now, it.m_agent, it.m_sent.front());
    it.m_sent.clear();
    it.report();
    it.exchange();
    cr_assert_eq(it.m_stops, 1U);
}

} // namespace fescuegw::dispatch
