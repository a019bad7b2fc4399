// Model test of one replica group: random faults in virtual time, checked against an oracle of acknowledged commands.
#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <sstream>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "fescuegw/raft/Replica.h"

namespace fescuegw::raft {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr uint64_t firstAddedId = 10;

    enum class OpKind : uint8_t {
        Advance,
        Propose,
        Crash,
        CrashBeforeSync,
        FailSync,
        Freeze,
        Partition,
        Heal,
        Wipe,
        Replace,
        Disturb,
        Count,
    };

    struct Op {
        OpKind kind = OpKind::Advance;
        uint32_t target = 0;
        uint32_t amount = 0;
    };

    void showValue(const Op& op, std::ostream& out)
    {
        static const char* const names[] = { "Advance", "Propose", "Crash", "CrashBeforeSync", "FailSync", "Freeze", "Partition",
            "Heal", "Wipe", "Replace", "Disturb" };
        out << names[static_cast<size_t>(op.kind)] << '(' << op.target << ',' << op.amount << ')';
    }

    rc::Gen<Op> genOp()
    {
        const auto kind = rc::gen::weightedElement<OpKind>({ { 30, OpKind::Advance }, { 30, OpKind::Propose },
            { 4, OpKind::Crash }, { 4, OpKind::CrashBeforeSync }, { 2, OpKind::FailSync }, { 4, OpKind::Freeze },
            { 5, OpKind::Partition }, { 5, OpKind::Heal }, { 2, OpKind::Wipe }, { 3, OpKind::Replace }, { 3, OpKind::Disturb } });
        return rc::gen::map(
            rc::gen::tuple(kind, rc::gen::inRange<uint32_t>(0, 64), rc::gen::inRange<uint32_t>(0, 300)), [](const auto& it) {
                return Op { std::get<0>(it), std::get<1>(it), std::get<2>(it) };
            });
    }

    // Durable state of a replica and the writes that have not been synced yet.
    struct Disk {
        uint64_t identity = 0;
        wire::HardState hardState;
        wire::Snapshot snapshot;
        std::vector<wire::LogEntry> entries;
        std::vector<std::function<void(Disk&)>> unsyncedWrites;

        void sync()
        {
            for (const auto& it : unsyncedWrites)
                it(*this);
            unsyncedWrites.clear();
        }

        void put(const wire::LogEntry& entry)
        {
            while (!entries.empty() && entries.back().index() >= entry.index())
                entries.pop_back();
            entries.push_back(entry);
        }
    };

    struct InFlightMessage {
        TimePoint due;
        wire::RaftMessage message;
    };

    struct PendingAck {
        uint64_t index = 0;
        uint64_t term = 0;
        std::string command;
    };

    struct Node {
        uint64_t id = 0;
        bool joinsLater = false;
        Disk disk;
        std::unique_ptr<Replica> replica;
        std::vector<std::string> applied;
        std::vector<PendingAck> pending;
        TimePoint frozenUntil;
        TimePoint downUntil;
        bool syncFails = false;
        bool crashBeforeSync = false;
        bool wiped = false;
    };

    // A replica group, its network and its oracle. Faults come from the generated operations, delays from a seeded generator.
    class Simulation {
    public:
        Simulation(size_t replicas, uint32_t seed)
            : m_random(seed)
            , m_now(std::chrono::seconds(100))
            , m_size(replicas)
        {
            for (size_t i = 0; i < replicas; ++i)
                addNode(i + 1, false);
        }

        void run(const Op& op)
        {
            Node& node = *m_nodes[op.target % m_nodes.size()];
            switch (op.kind) {
            case OpKind::Advance:
                advance(std::chrono::milliseconds(10 * op.amount));
                break;
            case OpKind::Propose:
                propose(op.target);
                advance(std::chrono::milliseconds(op.amount / 10));
                break;
            case OpKind::Crash:
                crash(node, std::chrono::milliseconds(10 * op.amount));
                break;
            case OpKind::CrashBeforeSync:
                node.crashBeforeSync = true;
                break;
            case OpKind::FailSync:
                node.syncFails = true;
                break;
            case OpKind::Freeze:
                node.frozenUntil = m_now + std::chrono::milliseconds(15 * op.amount);
                break;
            case OpKind::Partition:
                m_partitionMask = static_cast<uint64_t>(op.amount);
                break;
            case OpKind::Heal:
                m_partitionMask = 0;
                break;
            case OpKind::Wipe:
                wipe(node);
                break;
            case OpKind::Replace:
                replaceWiped();
                break;
            case OpKind::Disturb:
                m_lossPercent = op.amount % 40;
                m_maxDelayMs = 1 + op.target * 8;
                break;
            case OpKind::Count:
                break;
            }
        }

        // Ends all faults and checks that the group serves again and holds the acknowledged commands (see `checkLeader`).
        void healAndVerify()
        {
            m_partitionMask = 0;
            m_lossPercent = 0;
            m_maxDelayMs = 5;
            for (auto& it : m_nodes) {
                it->frozenUntil = m_now;
                it->downUntil = std::min(it->downUntil, m_now);
                it->syncFails = false;
                it->crashBeforeSync = false;
            }
            advance(std::chrono::seconds(15));
            if (m_acknowledged.empty())
                return;
            const bool served = std::any_of(
                m_nodes.begin(), m_nodes.end(), [this](const auto& it) { return it->replica && it->replica->hasLease(m_now); });
            RC_ASSERT(served);
        }

        size_t acknowledged() const { return m_acknowledged.size(); }

    private:
        void addNode(uint64_t id, bool joinsLater)
        {
            auto node = std::make_unique<Node>();
            node->id = id;
            node->joinsLater = joinsLater;
            node->disk.identity = m_random() | 1U;
            m_nodes.push_back(std::move(node));
            start(*m_nodes.back());
        }

        void start(Node& node)
        {
            ReplicaOptions options;
            options.id = node.id;
            options.identity = node.disk.identity;
            options.snapshotInterval = 12;
            DurableState state { node.disk.hardState, node.disk.snapshot, node.disk.entries, {} };
            for (uint64_t id = 1; !node.joinsLater && id <= m_size; ++id)
                addMember(state.initialMembership, id);
            node.applied.clear();
            node.pending.clear();
            node.replica = std::make_unique<Replica>(options, std::move(state), hooks(node), m_now);
        }

        static void addMember(wire::Membership& membership, uint64_t id)
        {
            wire::Member* member = membership.add_members();
            member->set_id(id);
            member->set_voter(true);
        }

        ReplicaHooks hooks(Node& node)
        {
            ReplicaHooks hooks;
            hooks.send = [this](const wire::RaftMessage& m) { sendMessage(m); };
            hooks.saveHardState = [&node](const wire::HardState& it) {
                node.disk.unsyncedWrites.emplace_back([it](Disk& disk) { disk.hardState = it; });
            };
            hooks.saveEntry = [&node](const wire::LogEntry& it) {
                node.disk.unsyncedWrites.emplace_back([it](Disk& disk) { disk.put(it); });
            };
            hooks.saveSnapshot = [&node](const wire::Snapshot& snapshot, const wire::HardState& hardState,
                                     const std::vector<wire::LogEntry>& entries) {
                node.disk.unsyncedWrites.clear();
                node.disk.snapshot = snapshot;
                node.disk.hardState = hardState;
                node.disk.entries = entries;
            };
            hooks.apply = [this, &node](const wire::LogEntry& it) { onApply(node, it); };
            hooks.restore = [&node](const std::string& state) {
                node.applied.clear();
                std::istringstream stream(state);
                for (std::string it; stream >> it;)
                    node.applied.push_back(it);
            };
            hooks.captureState = [&node] {
                std::string state;
                for (const auto& it : node.applied)
                    state += it + " ";
                return state;
            };
            hooks.random = [this](uint64_t bound) { return m_random() % bound; };
            return hooks;
        }

        void onApply(Node& node, const wire::LogEntry& entry)
        {
            const auto chosen = m_committedCommands.try_emplace(entry.index(), entry.command());
            RC_ASSERT(chosen.first->second == entry.command());
            if (!entry.command().empty())
                node.applied.push_back(entry.command());
            for (const auto& it : node.pending)
                if (it.index == entry.index() && it.term == entry.term() && it.command == entry.command())
                    m_acknowledged.push_back(it.command);
        }

        bool canReach(uint64_t from, uint64_t to) const
        {
            return ((m_partitionMask >> (from % 8)) & 1U) == ((m_partitionMask >> (to % 8)) & 1U);
        }

        void sendMessage(const wire::RaftMessage& m)
        {
            if (!canReach(m.from(), m.to()) || m_random() % 100 < m_lossPercent)
                return;
            const size_t copies = m_random() % 20 == 0 ? 2 : 1;
            for (size_t n = 0; n < copies; ++n)
                m_inFlight.push_back(InFlightMessage { m_now + std::chrono::milliseconds(1 + m_random() % m_maxDelayMs), m });
        }

        void propose(uint32_t target)
        {
            std::vector<Node*> leaders;
            for (auto& it : m_nodes)
                if (it->replica && it->frozenUntil <= m_now && it->replica->role() == Role::Leader)
                    leaders.push_back(it.get());
            if (leaders.empty())
                return;
            Node& node = *leaders[target % leaders.size()];
            const std::string command = "c" + std::to_string(++m_proposedCommands);
            const auto index = node.replica->propose(m_now, command);
            if (index)
                node.pending.push_back(PendingAck { *index, node.replica->term(), command });
        }

        void crash(Node& node, Duration down)
        {
            node.disk.unsyncedWrites.clear();
            node.replica.reset();
            node.downUntil = m_now + down;
        }

        size_t wipedVoters() const
        {
            return static_cast<size_t>(
                std::count_if(m_nodes.begin(), m_nodes.end(), [this](const auto& it) { return it->wiped && votes(it->id); }));
        }

        // Returns the membership known to the replica with the highest commit index.
        const wire::Membership* membership() const
        {
            const Node* newest = nullptr;
            for (const auto& it : m_nodes)
                if (it->replica && !it->wiped
                    && (newest == nullptr || it->replica->commitIndex() > newest->replica->commitIndex()))
                    newest = it.get();
            return newest == nullptr ? nullptr : &newest->replica->membership();
        }

        bool votes(uint64_t id) const
        {
            const wire::Membership* members = membership();
            return members != nullptr && std::any_of(members->members().begin(), members->members().end(), [id](const auto& it) {
                return it.id() == id && it.voter();
            });
        }

        // Wipes the disk of a voter, provided that a majority of the voters keep theirs and no membership change is under way.
        void wipe(Node& node)
        {
            const wire::Membership* members = membership();
            const bool changing = members == nullptr
                || std::any_of(members->members().begin(), members->members().end(),
                    [](const auto& it) { return !it.voter() || it.replaces() != 0; });
            if (changing || m_acknowledged.empty() || !votes(node.id)
                || wipedVoters() + 1 > (static_cast<size_t>(members->members_size()) - 1) / 2)
                return;
            for (const auto& it : m_nodes)
                if (!it->replica || it->replica->membership().SerializeAsString() != members->SerializeAsString())
                    if (!it->wiped && votes(it->id))
                        return;
            node.disk = Disk();
            node.disk.identity = m_random() | 1U;
            node.wiped = true;
            node.replica.reset();
            node.downUntil = m_now;
        }

        void replaceWiped()
        {
            const auto wiped
                = std::find_if(m_nodes.begin(), m_nodes.end(), [this](const auto& it) { return it->wiped && votes(it->id); });
            if (wiped == m_nodes.end())
                return;
            for (const auto& it : m_nodes) {
                if (!it->replica || !it->replica->hasLease(m_now))
                    continue;
                wire::Member added;
                added.set_id(firstAddedId + m_nodes.size());
                if (it->replica->changeMembership(m_now, added, (*wiped)->id).empty())
                    addNode(added.id(), true);
                return;
            }
        }

        void advance(Duration time)
        {
            const TimePoint end = m_now + time;
            do {
                m_now += tickInterval;
                deliver();
                for (const auto& it : m_nodes)
                    runNode(*it);
            } while (m_now < end);
        }

        void deliver()
        {
            std::vector<InFlightMessage> due;
            std::vector<InFlightMessage> later;
            for (auto& it : m_inFlight)
                (it.due <= m_now ? due : later).push_back(std::move(it));
            m_inFlight = std::move(later);
            std::sort(due.begin(), due.end(), [](const InFlightMessage& a, const InFlightMessage& b) { return a.due < b.due; });
            for (const auto& it : due) {
                const auto node
                    = std::find_if(m_nodes.begin(), m_nodes.end(), [&it](const auto& n) { return n->id == it.message.to(); });
                if (node == m_nodes.end() || !(*node)->replica)
                    continue;
                // A frozen process receives its messages when it resumes.
                if ((*node)->frozenUntil > m_now)
                    m_inFlight.push_back(InFlightMessage { (*node)->frozenUntil, it.message });
                else
                    (*node)->replica->receive(m_now, it.message);
            }
        }

        void runNode(Node& node)
        {
            if (!node.replica && m_now >= node.downUntil)
                start(node);
            if (!node.replica || node.frozenUntil > m_now)
                return;
            node.replica->tick(m_now);
            if (node.syncFails || node.crashBeforeSync) {
                // After a failed sync the data may or may not be on disk.
                if (node.disk.unsyncedWrites.empty())
                    return;
                if (node.syncFails && m_random() % 2 == 0)
                    node.disk.sync();
                node.syncFails = false;
                node.crashBeforeSync = false;
                crash(node, std::chrono::milliseconds(200));
                return;
            }
            node.disk.sync();
            node.replica->synced(m_now);
            checkLeader(node);
        }

        void checkLeader(const Node& node)
        {
            if (node.replica->role() == Role::Leader) {
                const auto first = m_leaderOfTerm.try_emplace(node.replica->term(), node.id);
                RC_ASSERT(first.first->second == node.id);
            }
            if (!node.replica->hasLease(m_now))
                return;
            // The state of a leader with a lease must hold every command acknowledged before.
            for (const auto& it : m_acknowledged)
                RC_ASSERT(std::find(node.applied.begin(), node.applied.end(), it) != node.applied.end());
        }

        std::mt19937 m_random;
        TimePoint m_now;
        size_t m_size;
        std::vector<std::unique_ptr<Node>> m_nodes;
        std::vector<InFlightMessage> m_inFlight;
        uint64_t m_partitionMask = 0;
        uint64_t m_lossPercent = 0;
        uint64_t m_maxDelayMs = 5;
        uint64_t m_proposedCommands = 0;
        std::map<uint64_t, std::string> m_committedCommands;
        std::map<uint64_t, uint64_t> m_leaderOfTerm;
        std::vector<std::string> m_acknowledged;
    };

} // namespace

// Acknowledged commands survive crashes, lost and failing disks, freezes, partitions and replaced members; a leader with a lease
// never serves stale state; each term has at most one leader.
Test(raftModel, acknowledgedCommandsSurvive)
{
    const bool held = rc::check("acknowledged commands survive", [] {
        const auto replicas = *rc::gen::element<size_t>(3, 3, 5);
        const auto seed = *rc::gen::arbitrary<uint32_t>();
        const auto ops = *rc::gen::resize(60, rc::gen::container<std::vector<Op>>(genOp()));
        Simulation simulation(replicas, seed);
        simulation.run(Op { OpKind::Advance, 0, 300 });
        for (const auto& it : ops)
            simulation.run(it);
        simulation.healAndVerify();
        RC_CLASSIFY(simulation.acknowledged() > 0, "acknowledged");
    });
    cr_assert(held);
}

} // namespace fescuegw::raft
