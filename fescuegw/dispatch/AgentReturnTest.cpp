// What an owner does when an agent that it had lost is heard again in the same incarnation.
#include <vector>

#include <criterion/criterion.h>

#include "fescuegw/agent/TaskTable.h"
#include "fescuegw/dispatch/ServiceDispatcher.h"

namespace fescuegw::dispatch {

namespace {

    constexpr uint64_t epoch = 1;

    // An owner and one agent. Commands and claims are answered at once; messages to the agent are kept in order.
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
            hooks.propose = [this](const wire::Command&, const ResultHook& hook) {
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

        // Delivers what was sent, and the agent's answers.
        void exchange()
        {
            m_dispatcher.flush(m_now);
            std::vector<wire::EntryToAgent> messages;
            messages.swap(m_sent);
            for (const auto& it : messages) {
                const agent::Decision decision = m_table.decide(toMicros(m_now), it, { "pondkeep", 4, true });
                m_ignored += decision.ignored ? 1 : 0;
                if (decision.collect)
                    m_dispatcher.onHeld(m_now, m_agent, m_table.held());
            }
        }

        void pass(Duration time)
        {
            m_now += time;
            m_dispatcher.tick(m_now);
            m_sent.clear();
        }

        void askAgain(int n)
        {
            for (int i = 0; i < n; ++i) {
                m_dispatcher.setConfigurationVersion(++m_version);
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
        uint64_t m_version = 0;
        int m_ignored = 0;
        ServiceDispatcher m_dispatcher;
    };

} // namespace

// A link that was silent for longer than the lease: the agent has had messages of the same epoch, and refuses overtaken ones.
Test(agentReturn, itsFirstReportMakesItUsableAgain)
{
    Fixture it;
    it.report();
    it.askAgain(20);
    cr_assert(it.agentIsReady());
    it.pass(std::chrono::seconds(4));
    cr_assert(it.m_dispatcher.upstreams().empty());
    it.report();
    cr_assert_eq(it.m_ignored, 0);
    cr_assert(it.agentIsReady());
}

// What the owner sent before it lost the agent may still arrive; the agent refuses it once it has told what it holds.
Test(agentReturn, laterMessagesAreNewerThanThoseThatMayStillArrive)
{
    Fixture it;
    it.report();
    it.askAgain(5);
    it.m_dispatcher.setConfigurationVersion(++it.m_version);
    it.m_dispatcher.flush(it.m_now);
    cr_assert_eq(it.m_sent.size(), 1U);
    const wire::EntryToAgent delayed = it.m_sent.front();
    it.pass(std::chrono::seconds(4));
    it.report();
    cr_assert(it.agentIsReady());
    cr_assert(it.m_table.decide(toMicros(it.m_now), delayed, { "pondkeep", 4, true }).ignored);
}

} // namespace fescuegw::dispatch
