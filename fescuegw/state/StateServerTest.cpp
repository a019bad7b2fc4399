// Tests a self-managed group of state servers in one process, each with an address of its own in the loopback network.
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <mutex>
#include <thread>

#include <criterion/criterion.h>
#include <unistd.h>

#include "fescuegw/state/StateServer.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::state;

constexpr uint16_t linkPort = 7720;
constexpr size_t seedCount = 3;
constexpr Duration longestWait = std::chrono::seconds(30);
constexpr Duration pollInterval = std::chrono::milliseconds(20);

bool waitUntil(const std::function<bool()>& condition)
{
    const TimePoint due = monotonicNow() + longestWait;
    while (!condition()) {
        if (monotonicNow() > due)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

class Member {
public:
    explicit Member(const StateSettings& settings)
        : m_metrics(settings.process.name)
        , m_server(settings, m_metrics)
    {
        cr_assert(m_server.start().has_value());
        m_thread = std::thread([this] {
            m_exitCode = m_server.run();
            m_ended = true;
        });
    }

    ~Member()
    {
        m_server.stop();
        m_thread.join();
    }

    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;
    Member(Member&&) = delete;
    Member& operator=(Member&&) = delete;

    void stop() { m_server.stop(); }
    bool hasEnded() const { return m_ended; }
    int exitCode() const { return m_exitCode; }

    // Returns the reply to a request, or nothing if there was none.
    std::optional<wire::StateReply> ask(const wire::StateRequest& request)
    {
        auto answered = std::make_shared<Answer>();
        m_server.submit(request, [answered](const wire::StateReply& reply) {
            const std::lock_guard<std::mutex> lock(answered->mutex);
            answered->reply = reply;
            answered->condition.notify_all();
        });
        std::unique_lock<std::mutex> lock(answered->mutex);
        answered->condition.wait_for(lock, std::chrono::seconds(1), [&] { return answered->reply.has_value(); });
        return answered->reply;
    }

    // Returns the addresses of the voters, or nothing if this replica does not lead.
    std::vector<std::string> voters()
    {
        wire::StateRequest request;
        request.mutable_group_status();
        std::vector<std::string> list;
        if (const auto reply = ask(request))
            for (const auto& it : reply->group_status().replicas())
                if (it.voter())
                    list.push_back(it.address());
        return list;
    }

private:
    struct Answer {
        std::mutex mutex;
        std::condition_variable condition;
        std::optional<wire::StateReply> reply;
    };

    daemon::Metrics m_metrics;
    StateServer m_server;
    std::thread m_thread;
    std::atomic<int> m_exitCode { -1 };
    std::atomic<bool> m_ended { false };
};

class Group {
public:
    Group()
        // Groups of several test processes have different networks.
        : m_network("127." + std::to_string(100 + getpid() % 100) + "." + std::to_string(getpid() / 100 % 250) + ".")
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "fescuegw-state-XXXXXX").string();
        m_folder = mkdtemp(pattern.data());
        for (size_t n = 0; n < 2 * seedCount - 1; ++n)
            add(true);
    }

    ~Group()
    {
        for (auto& it : m_members)
            it->stop();
        m_members.clear();
        std::filesystem::remove_all(m_folder);
    }

    Group(const Group&) = delete;
    Group& operator=(const Group&) = delete;
    Group(Group&&) = delete;
    Group& operator=(Group&&) = delete;

    void add(bool firstStart = false)
    {
        const size_t n = m_members.size();
        StateSettings settings;
        settings.process.name = "state" + std::to_string(n);
        settings.listen = address(n);
        settings.advertised = settings.listen;
        settings.data = m_folder + "/" + settings.process.name;
        std::filesystem::create_directories(settings.data);
        settings.electionTimeout = std::chrono::milliseconds(250);
        settings.entryLease = std::chrono::milliseconds(1500);
        settings.snapshotInterval = 1000;
        settings.formation.emplace();
        for (size_t it = 0; it < seedCount; ++it)
            settings.formation->seeds.push_back(address(it));
        settings.formation->firstStart = firstStart;
        settings.formation->toleratedLosses = 2;
        m_members.push_back(std::make_unique<Member>(settings));
    }

    Member& member(size_t n) { return *m_members[n]; }
    settings::Address address(size_t n) const { return { m_network + std::to_string(n + 1), linkPort }; }

    // Returns the voters that the leader knows.
    std::vector<std::string> voters()
    {
        for (auto& it : m_members) {
            std::vector<std::string> list;
            if (!it->hasEnded())
                list = it->voters();
            if (!list.empty())
                return list;
        }
        return {};
    }

    // Returns the first list of voters that a leader gives.
    std::vector<std::string> nextVoters()
    {
        std::vector<std::string> list;
        cr_assert(waitUntil([&] {
            list = voters();
            return !list.empty();
        }));
        return list;
    }

    // Returns the number of the first replica that is found to lead.
    size_t leader()
    {
        size_t leader = 0;
        cr_assert(waitUntil([&] {
            for (leader = 0; leader < m_members.size(); ++leader)
                if (!m_members[leader]->hasEnded() && !m_members[leader]->voters().empty())
                    return true;
            return false;
        }));
        return leader;
    }

private:
    std::string m_network;
    std::string m_folder;
    std::vector<std::unique_ptr<Member>> m_members;
};

bool contains(const std::vector<std::string>& list, const settings::Address& address)
{
    return std::find(list.begin(), list.end(), address.text()) != list.end();
}

} // namespace

// A replica is replaced as planned. It ended without being removed, so the group bore the loss of one disk less until its silence
// counted.
Test(StateServer, aReplacedReplicaEndsOnceItIsNoVoterAnyMore)
{
    for (const bool leads : { false, true }) {
        Group group;
        cr_assert(waitUntil([&] { return group.voters().size() == 5; }));
        group.add();
        cr_assert(waitUntil([&] { return group.voters().size() == 6; }));
        const size_t leader = group.leader();
        const size_t replaced = leads ? leader : (leader + 1) % 5;
        group.member(replaced).stop();
        cr_assert(waitUntil([&] { return group.member(replaced).hasEnded(); }));
        cr_assert_eq(group.member(replaced).exitCode(), 0);
        if (!leads) {
            // Without another word, and before its silence counts.
            const auto voters = group.nextVoters();
            cr_assert_eq(voters.size(), 5U, "%zu voters", voters.size());
            cr_assert_not(contains(voters, group.address(replaced)));
        }
        cr_assert(waitUntil([&] { return group.voters().size() == 5; }));
        cr_assert_not(contains(group.nextVoters(), group.address(replaced)));
    }
}

// A replica is restarted, and the group has none to spare.
Test(StateServer, aReplicaThatIsNeededStaysAMember)
{
    Group group;
    cr_assert(waitUntil([&] { return group.voters().size() == 5; }));
    const size_t stopped = (group.leader() + 1) % 5;
    group.member(stopped).stop();
    cr_assert(waitUntil([&] { return group.member(stopped).hasEnded(); }));
    cr_assert_eq(group.member(stopped).exitCode(), 0);
    const auto voters = group.nextVoters();
    cr_assert_eq(voters.size(), 5U, "%zu voters", voters.size());
    cr_assert(contains(voters, group.address(stopped)));
}

// Guards against a request that is kept without an answer: a proposal of no commands waited for the next command of others.
Test(StateServer, aProposalOfNoCommandsIsAnswered)
{
    Group group;
    wire::StateRequest request;
    request.mutable_propose();
    cr_assert(waitUntil([&] {
        const auto reply = group.member(group.leader()).ask(request);
        return reply && reply->has_propose() && reply->propose().results().empty();
    }));
}
