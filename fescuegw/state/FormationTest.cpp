// Tests formation and repair of self-managed groups: replicas with the membership policy in simulated time, under loss of disks
// and hosts.
#include <map>
#include <memory>
#include <optional>
#include <random>

#include <criterion/criterion.h>

#include "fescuegw/state/MembershipPolicy.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::state;

constexpr Duration step = std::chrono::milliseconds(10);
constexpr uint64_t initialMemberCount = 3;

// A host with a disk, its replica while it runs, and the policy that is used while the replica leads.
struct Host {
    uint64_t id = 0;
    uint64_t identity = 0;
    std::string address;
    raft::DurableState disk;
    std::unique_ptr<raft::Replica> replica;
    MembershipPolicy policy { { .minVoters = 5 } };
    uint64_t policyTerm = 0;
    bool unsynced = false;
    // Has been told to stop.
    bool leaving = false;
    bool mayStop = false;
    std::vector<std::string> applied;
};

class Group {
public:
    explicit Group(uint64_t seed)
        : m_random(seed)
    {
        for (int n = 0; n < 5; ++n)
            m_hosts.push_back(std::make_unique<Host>());
        for (size_t n = 0; n < m_hosts.size(); ++n) {
            Host& host = *m_hosts[n];
            host.address = "host" + std::to_string(n);
            wipe(host, n < initialMemberCount ? n + 1 : 0);
            if (n >= initialMemberCount)
                continue;
            for (uint64_t id = 1; id <= initialMemberCount; ++id) {
                wire::Member* member = host.disk.initialMembership.add_members();
                member->set_id(id);
                member->set_address("host" + std::to_string(id - 1));
                member->set_voter(true);
            }
        }
        for (auto& it : m_hosts)
            start(*it);
    }

    Host& host(size_t n) { return *m_hosts[n]; }

    // Adds a host with an empty disk, and returns its number.
    size_t addHost()
    {
        m_hosts.push_back(std::make_unique<Host>());
        Host& added = *m_hosts.back();
        added.address = "host" + std::to_string(m_hosts.size() - 1);
        wipe(added, 0);
        start(added);
        return m_hosts.size() - 1;
    }

    void stop(size_t n) { host(n).replica.reset(); }
    // The host takes part until the group lets it go.
    void stopInOrder(size_t n)
    {
        host(n).leaving = true;
        host(n).replica->retire();
    }
    bool isStopped(size_t n) { return !host(n).replica; }
    // Restarts the host with an empty disk.
    void replaceDisk(size_t n)
    {
        stop(n);
        wipe(host(n), 0);
        start(host(n));
    }

    size_t leaderNumber()
    {
        for (size_t n = 0; n < m_hosts.size(); ++n)
            if (m_hosts[n].get() == leader())
                return n;
        return m_hosts.size();
    }

    bool isMember(size_t n)
    {
        const Host* it = leader();
        return it != nullptr
            && std::any_of(it->replica->membership().members().begin(), it->replica->membership().members().end(),
                [&](const wire::Member& member) { return member.id() == host(n).id; });
    }

    // Returns whether the leader has committed `command`.
    bool hasCommitted(const std::string& command)
    {
        const Host* it = leader();
        return it != nullptr && std::find(it->applied.begin(), it->applied.end(), command) != it->applied.end();
    }

    // Returns whether the leader acknowledges `command`.
    bool acknowledges(const std::string& command)
    {
        const Host* it = leader();
        if (it == nullptr || !hasCommitted(command))
            return false;
        const auto entry = std::find_if(it->disk.entries.begin(), it->disk.entries.end(),
            [&](const wire::LogEntry& candidate) { return candidate.command() == command; });
        return it->policy.mayAcknowledge(*it->replica, entry->index());
    }

    void moveTo(size_t n, const std::string& address) { host(n).address = address; }

    void run(Duration duration)
    {
        const TimePoint until = m_now + duration;
        while (m_now < until) {
            m_now += step;
            runStep();
        }
    }

    Host* leader()
    {
        for (auto& it : m_hosts)
            if (it->replica && it->replica->hasLease(m_now))
                return it.get();
        return nullptr;
    }

    bool propose(const std::string& command)
    {
        Host* leaderHost = leader();
        return leaderHost != nullptr && leaderHost->replica->propose(m_now, command).has_value();
    }

    // Returns the addresses of all voters that the leader knows.
    std::vector<std::string> voters()
    {
        std::vector<std::string> list;
        if (Host* leaderHost = leader())
            for (const auto& it : leaderHost->replica->membership().members())
                if (it.voter())
                    list.push_back(it.address());
        std::sort(list.begin(), list.end());
        return list;
    }

private:
    void wipe(Host& host, uint64_t id)
    {
        host.identity = m_random() | 1U;
        host.id = id != 0 ? id : m_random() | (1ULL << 40U);
        host.disk = {};
        host.applied.clear();
    }

    void start(Host& host)
    {
        raft::ReplicaOptions options;
        options.id = host.id;
        options.identity = host.identity;
        options.electionTimeout = std::chrono::milliseconds(500);
        options.heartbeatInterval = std::chrono::milliseconds(80);
        options.clockMargin = std::chrono::milliseconds(100);
        raft::ReplicaHooks hooks;
        hooks.send = [this](const wire::RaftMessage& m) { m_inFlight.emplace_back(m_now, m); };
        hooks.saveHardState = [&host](const wire::HardState& it) {
            host.disk.hardState = it;
            host.unsynced = true;
        };
        hooks.saveEntry = [&host](const wire::LogEntry& it) {
            while (!host.disk.entries.empty() && host.disk.entries.back().index() >= it.index())
                host.disk.entries.pop_back();
            host.disk.entries.push_back(it);
            host.unsynced = true;
        };
        hooks.saveSnapshot = [&host](const wire::Snapshot& snapshot, const wire::HardState& hard, const auto& entries) {
            host.disk.snapshot = snapshot;
            host.disk.hardState = hard;
            host.disk.entries = entries;
        };
        hooks.apply = [&host](const wire::LogEntry& it) {
            if (!it.command().empty())
                host.applied.push_back(it.command());
        };
        hooks.restore = [](const std::string&) {};
        hooks.captureState = [] { return std::string(); };
        hooks.random = [this](uint64_t bound) { return m_random() % bound; };
        host.applied.clear();
        host.policyTerm = 0;
        host.replica = std::make_unique<raft::Replica>(options, host.disk, hooks, m_now);
    }

    void deliver()
    {
        std::vector<std::pair<TimePoint, wire::RaftMessage>> messages;
        messages.swap(m_inFlight);
        for (const auto& it : messages)
            for (auto& host : m_hosts)
                if (host->replica && host->id == it.second.to())
                    host->replica->receive(m_now, it.second);
    }

    void runStep()
    {
        deliver();
        for (auto& it : m_hosts) {
            if (!it->replica)
                continue;
            raft::Replica& replica = *it->replica;
            replica.tick(m_now);
            replica.synced(m_now);
            if (!replica.hasLease(m_now))
                continue;
            if (it->policyTerm != replica.term()) {
                it->policyTerm = replica.term();
                it->policy.startTerm(m_now);
            }
            sendJoinRequests(*it);
            letLeave(*it);
            changeMembership(*it);
        }
        for (auto& it : m_hosts)
            if (it->leaving && it->replica && it->mayStop)
                it->replica.reset();
    }

    // What leaving hosts ask the leader, and its answers.
    void letLeave(Host& leaderHost)
    {
        for (auto& it : m_hosts)
            if (it->leaving && it->replica)
                it->mayStop = leaderHost.policy.onLeaving(m_now, it->id, *leaderHost.replica) == LeaveVerdict::Stop;
    }

    // Non-voting replicas send a join request every 300 ms.
    void sendJoinRequests(Host& leaderHost)
    {
        if ((m_now.time_since_epoch() / step) % 30 != 0)
            return;
        for (auto& it : m_hosts) {
            if (!it->replica || it->replica->votes() || it->leaving)
                continue;
            wire::Member candidate;
            candidate.set_id(it->id);
            candidate.set_identity(it->identity);
            candidate.set_address(it->address);
            leaderHost.policy.onCandidate(m_now, candidate);
        }
    }

    void changeMembership(Host& leaderHost)
    {
        const auto next = leaderHost.policy.next(m_now, *leaderHost.replica);
        if (!next)
            return;
        if (next->kind == MembershipChange::Kind::Add)
            leaderHost.replica->changeMembership(m_now, next->member, next->replaces);
        else
            leaderHost.replica->removeMember(m_now, next->member.id());
    }

    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::hours(1) };
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::pair<TimePoint, wire::RaftMessage>> m_inFlight;
};

constexpr uint64_t randomSeedCount = 40;
const std::vector<std::string> allHosts { "host0", "host1", "host2", "host3", "host4" };

} // namespace

Test(Formation, threeSeedsGrowToFiveVoters)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        cr_assert(group.voters() == allHosts, "seed %lu", seed);
    }
}

// Two of five disks are lost right after a commit. The group must replace them and keep the committed entry.
Test(Formation, twoLostDisksAreReplaced)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        cr_assert(group.propose("kept"), "seed %lu", seed);
        group.run(std::chrono::milliseconds(50));
        group.replaceDisk(seed % 5);
        group.replaceDisk((seed + 2) % 5);
        group.run(std::chrono::seconds(8));
        cr_assert(group.voters() == allHosts, "seed %lu", seed);
        for (size_t n = 0; n < 5; ++n)
            cr_assert(group.host(n).applied == std::vector<std::string> { "kept" }, "seed %lu host %zu", seed, n);
    }
}

// A host is lost permanently, and one with an empty disk joins at another address.
Test(Formation, aReplacedHostLeavesTheGroup)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        const size_t n = seed % 5;
        group.stop(n);
        group.run(std::chrono::seconds(1));
        group.moveTo(n, "elsewhere");
        group.replaceDisk(n);
        group.run(std::chrono::seconds(6));
        const auto voters = group.voters();
        cr_assert_eq(voters.size(), 5, "seed %lu: %zu voters", seed, voters.size());
        cr_assert_eq(std::count(voters.begin(), voters.end(), "elsewhere"), 1, "seed %lu", seed);
    }
}

// An unresponsive voter is not removed while there are only as many voters as required, since it may come back.
Test(Formation, anUnresponsiveVoterIsKeptWithoutASuccessor)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        group.stop(seed % 5);
        group.run(std::chrono::seconds(10));
        cr_assert(group.voters() == allHosts, "seed %lu", seed);
    }
}

// A host is replaced as planned, and two more lose their disks right after a commit. The host that has stopped still counted as
// one of six voters, and the committed entry never came again.
Test(Formation, twoDisksMayBeLostRightAfterAPlannedReplacement)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        const size_t added = group.addHost();
        group.run(std::chrono::seconds(4));
        cr_assert_eq(group.voters().size(), 6, "seed %lu", seed);
        // Every second time it is the leader that stops.
        const size_t replaced = seed % 2 == 0 ? group.leaderNumber() : seed % 5;
        group.stopInOrder(replaced);
        group.run(std::chrono::seconds(2));
        cr_assert(group.isStopped(replaced), "seed %lu", seed);
        cr_assert(group.propose("kept"), "seed %lu", seed);
        group.run(std::chrono::milliseconds(50));
        cr_assert(group.hasCommitted("kept"), "seed %lu", seed);
        std::vector<size_t> rest;
        for (size_t n = 0; n <= added; ++n)
            if (n != replaced)
                rest.push_back(n);
        group.replaceDisk(rest[seed % 5]);
        group.replaceDisk(rest[(seed + 2) % 5]);
        group.run(std::chrono::seconds(8));
        cr_assert(group.hasCommitted("kept"), "seed %lu", seed);
        cr_assert_eq(group.voters().size(), 5, "seed %lu", seed);
    }
}

// A host is only restarted, and the group has no voter to spare.
Test(Formation, aVoterThatIsNeededStopsAtOnceAndStaysAMember)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        const size_t n = seed % 5;
        group.stopInOrder(n);
        group.run(std::chrono::milliseconds(20));
        cr_assert(group.isStopped(n), "seed %lu", seed);
        group.run(std::chrono::seconds(5));
        cr_assert(group.voters() == allHosts, "seed %lu", seed);
    }
}

// The successor has only begun to catch up when the host that it replaces is told to stop.
Test(Formation, aReplacedHostStopsOnceItsSuccessorVotes)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        group.addHost();
        group.run(std::chrono::milliseconds(400));
        const size_t n = seed % 5;
        group.stopInOrder(n);
        group.run(std::chrono::milliseconds(1600));
        cr_assert(group.isStopped(n), "seed %lu", seed);
        const auto voters = group.voters();
        cr_assert_eq(voters.size(), 5, "seed %lu: %zu voters", seed, voters.size());
        cr_assert_eq(std::count(voters.begin(), voters.end(), "host5"), 1, "seed %lu", seed);
        cr_assert_eq(std::count(voters.begin(), voters.end(), "host" + std::to_string(n)), 0, "seed %lu", seed);
    }
}

// A host that has been replaced ends without a word, and two more lose their disks right after a change was acknowledged.
Test(Formation, whatIsAcknowledgedSurvivesTwoDisksAfterAReplacementWithoutAWord)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        const size_t added = group.addHost();
        group.run(std::chrono::seconds(4));
        cr_assert_eq(group.voters().size(), 6, "seed %lu", seed);
        const size_t replaced = seed % 2 == 0 ? group.leaderNumber() : seed % 5;
        group.stop(replaced);
        // Callers send it again until it is acknowledged.
        bool acknowledged = false;
        for (int n = 0; n < 500 && !acknowledged; ++n) {
            if (!group.hasCommitted("kept"))
                group.propose("kept");
            group.run(step);
            acknowledged = group.acknowledges("kept");
        }
        cr_assert(acknowledged, "seed %lu", seed);
        std::vector<size_t> rest;
        for (size_t n = 0; n <= added; ++n)
            if (n != replaced)
                rest.push_back(n);
        // Every third time the leader is among them.
        const size_t first = seed % 3 == 0 ? group.leaderNumber() : rest[seed % 5];
        group.replaceDisk(first);
        group.replaceDisk(first == rest[(seed + 2) % 5] ? rest[(seed + 3) % 5] : rest[(seed + 2) % 5]);
        group.run(std::chrono::seconds(8));
        cr_assert(group.hasCommitted("kept"), "seed %lu", seed);
    }
}

// While all six voters are there, a change is acknowledged without a change of the membership.
Test(Formation, aGroupWithASpareVoterAcknowledgesAtOnce)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        group.addHost();
        group.run(std::chrono::seconds(4));
        cr_assert(group.propose("kept"), "seed %lu", seed);
        group.run(std::chrono::milliseconds(60));
        cr_assert(group.acknowledges("kept"), "seed %lu", seed);
        cr_assert_eq(group.voters().size(), 6, "seed %lu", seed);
    }
}

// A replica with an empty disk claims the address of a member that is there, for example by a wrong setting. The member was
// removed, and its group then relied on one replica less that holds its entries.
Test(Formation, aClaimOfAMembersAddressDoesNotRemoveTheMember)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        const size_t claimed = seed % 2 == 0 ? group.leaderNumber() : seed % 5;
        const size_t added = group.addHost();
        group.moveTo(added, group.host(claimed).address);
        group.run(std::chrono::seconds(6));
        cr_assert(group.isMember(claimed), "seed %lu", seed);
        cr_assert_not(group.isMember(added), "seed %lu", seed);
        // It joins once the member is gone.
        group.stop(claimed);
        group.run(std::chrono::seconds(6));
        cr_assert(group.voters() == allHosts, "seed %lu", seed);
        cr_assert(group.isMember(added), "seed %lu", seed);
    }
}

// All hosts are told to stop, and each group is left without a quorum. The rest held elections, whose writes a slow disk delays
// for longer than processes may take to stop.
Test(Formation, aGroupThatIsStoppedAsAWholeHoldsNoElection)
{
    for (uint64_t seed = 1; seed <= randomSeedCount; ++seed) {
        Group group(seed);
        group.run(std::chrono::seconds(5));
        const size_t leader = group.leaderNumber();
        const uint64_t term = group.host(leader).replica->term();
        // The leader has ended before the others ask it.
        group.stopInOrder(leader);
        group.run(std::chrono::milliseconds(20));
        cr_assert(group.isStopped(leader), "seed %lu", seed);
        for (size_t n = 0; n < 5; ++n)
            if (n != leader)
                group.stopInOrder(n);
        group.run(std::chrono::seconds(3));
        for (size_t n = 0; n < 5; ++n)
            cr_assert_eq(group.host(n).disk.hardState.term(), term, "seed %lu host %zu", seed, n);
    }
}
