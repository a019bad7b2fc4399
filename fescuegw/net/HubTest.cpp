// Links through a forwarder that still acknowledges data but stops forwarding it, and idle links.
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "fescuegw/net/Hub.h"
#include "fescuegw/relay/Relay.h"

namespace fescuegw::net {

namespace {

    // Upper bound; a working link answers much earlier.
    constexpr Duration exchangeTimeout = std::chrono::seconds(30);

    class Node {
    public:
        explicit Node(const HubOptions& options)
            : m_hub(options, hooks())
        {
        }

        ~Node()
        {
            m_hub.stop();
            if (m_thread.joinable())
                m_thread.join();
        }
        Node(const Node&) = delete;
        Node& operator=(const Node&) = delete;
        Node(Node&&) = delete;
        Node& operator=(Node&&) = delete;

        HubHooks hooks()
        {
            HubHooks hooks;
            hooks.onMessage = [this](TimePoint, const Peer& peer, const std::string& message) {
                m_received += message.empty() ? 0 : 1;
                m_emptyReceived += message.empty() ? 1 : 0;
                if (peer.direction == Peer::Direction::Accepted)
                    m_hub.send(peer, message);
            };
            hooks.onUndeliverable = [](TimePoint, const Peer&, const std::string&) {};
            hooks.onBatchEnd = [](TimePoint) {};
            return hooks;
        }

        void run()
        {
            m_thread = std::thread([this] { m_hub.run(); });
        }

        // Sends until a reply arrives. Returns false on time-out.
        bool exchange()
        {
            const int before = m_received;
            const TimePoint deadline = monotonicNow() + exchangeTimeout;
            while (m_received == before && monotonicNow() < deadline) {
                m_hub.send({ Peer::Direction::Connected, "server" }, "question");
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            return m_received > before;
        }

        Hub m_hub;
        std::atomic<int> m_received { 0 };
        std::atomic<int> m_emptyReceived { 0 };
        std::thread m_thread;
    };

    std::string loopback(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

} // namespace

Test(hub, reconnectsWhenDataIsAcknowledgedButNotForwarded)
{
    const uint16_t serverPort = relay::freePort();
    const uint16_t forwarderPort = relay::freePort();
    relay::Relay forwarder({ "127.0.0.1", forwarderPort }, { "127.0.0.1", serverPort }, Duration());
    cr_assert(forwarder.start().has_value());
    HubOptions options;
    options.identity = "server";
    options.listen = loopback(serverPort);
    Node server(options);
    cr_assert(server.m_hub.start().has_value());
    server.run();
    options.identity = "client";
    options.listen = "";
    Node client(options);
    client.m_hub.connect("server", loopback(forwarderPort));
    client.run();
    cr_assert(client.exchange());
    forwarder.silence();
    cr_assert(client.exchange());
    cr_assert_eq(server.m_emptyReceived + client.m_emptyReceived, 0, "probe delivered as a message");
}

// An agent of a large fleet has links to many entries, and is woken many times a second by a few of them. Its cost may depend on
// the messages, but not on the number of links.
Test(hub, readsOnlyTheLinkThatHasAMessage)
{
    constexpr int idleLinks = 40;
    constexpr int messages = 40;
    constexpr uint64_t readsPerMessage = 6;
    constexpr uint64_t readsPerIdleLink = 4;
    HubOptions options;
    options.probeTimeout = exchangeTimeout;
    options.identity = "client";
    Node client(options);
    std::vector<std::unique_ptr<Node>> servers;
    for (int i = 0; i <= idleLinks; ++i) {
        const uint16_t port = relay::freePort();
        const std::string name = i == 0 ? "server" : "idle-" + std::to_string(i);
        options.identity = name;
        options.listen = loopback(port);
        servers.push_back(std::make_unique<Node>(options));
        cr_assert(servers.back()->m_hub.start().has_value());
        servers.back()->run();
        client.m_hub.connect(name, loopback(port));
    }
    client.run();
    cr_assert(client.exchange());
    const uint64_t before = client.m_hub.counters().socketReads;
    const int receivedBefore = client.m_received;
    for (int i = 0; i < messages; ++i)
        cr_assert(client.exchange());
    const auto received = static_cast<uint64_t>(client.m_received - receivedBefore);
    cr_assert_leq(client.m_hub.counters().socketReads - before, received * readsPerMessage + readsPerIdleLink * idleLinks);
}

Test(hub, keepsIdleLinks)
{
    const uint16_t port = relay::freePort();
    HubOptions options;
    options.identity = "server";
    options.listen = loopback(port);
    Node server(options);
    cr_assert(server.m_hub.start().has_value());
    server.run();
    options.identity = "client";
    options.listen = "";
    options.probeTimeout = std::chrono::milliseconds(100);
    Node client(options);
    client.m_hub.connect("server", loopback(port));
    client.run();
    cr_assert(client.exchange());
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    cr_assert(client.exchange());
    cr_assert_eq(server.m_emptyReceived + client.m_emptyReceived, 0, "probe delivered as a message");
}

// A process stands still, or works for long, while messages wait for it. What it concludes from the time of a message, such as
// when a peer was last heard, must not be older than the message.
Test(hub, messagesOfOneBatchAreHandledAtTheirOwnTimes)
{
    constexpr Duration handlingTime = std::chrono::milliseconds(30);
    constexpr size_t messages = 3;
    const uint16_t port = relay::freePort();
    std::vector<TimePoint> times;
    std::vector<TimePoint> begun;
    std::unique_ptr<Hub> server;
    HubHooks hooks;
    hooks.onMessage = [&](TimePoint now, const Peer&, const std::string&) {
        times.push_back(now);
        begun.push_back(monotonicNow());
        std::this_thread::sleep_for(handlingTime);
        if (times.size() == messages)
            server->stop();
    };
    hooks.onUndeliverable = [](TimePoint, const Peer&, const std::string&) {};
    hooks.onBatchEnd = [](TimePoint) {};
    HubOptions options;
    options.identity = "server";
    options.listen = loopback(port);
    server = std::make_unique<Hub>(options, hooks);
    cr_assert(server->start().has_value());
    options.identity = "client";
    options.listen = "";
    Node client(options);
    client.m_hub.connect("server", loopback(port));
    client.run();
    std::thread serving([&] { server->run(); });
    while (times.size() < messages) {
        client.m_hub.send({ Peer::Direction::Connected, "server" }, "question");
        client.m_hub.send({ Peer::Direction::Connected, "server" }, "question");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    serving.join();
    for (size_t n = 1; n < messages; ++n)
        cr_assert_geq((times[n] - begun[n - 1]).count(), handlingTime.count(), "message %zu", n);
}

// Another thread posts what it has learned while the loop begins a batch, after the loop has read the time.
Test(hub, aTaskIsNotHandledWithATimeBeforeItWasPosted)
{
    constexpr size_t tasks = 20;
    std::vector<std::pair<TimePoint, TimePoint>> handled;
    std::unique_ptr<Hub> hub;
    HubOptions options;
    options.identity = "loop";
    options.clock = [&] {
        const TimePoint now = monotonicNow();
        while (monotonicNow() <= now) { }
        hub->post([&, postedAt = monotonicNow()](TimePoint then) { handled.emplace_back(postedAt, then); });
        return now;
    };
    HubHooks hooks;
    hooks.onBatchEnd = [&](TimePoint) {
        if (handled.size() >= tasks)
            hub->stop();
    };
    hub = std::make_unique<Hub>(options, hooks);
    hub->run();
    for (const auto& it : handled)
        cr_assert_geq((it.second - it.first).count(), 0);
}

// A list that another process wrote holds an address that cannot be connected to. The process goes on without that link.
Test(hub, unusableAddressesAreRefused)
{
    HubOptions options;
    options.identity = "client";
    Node client(options);
    for (const char* it : { "10.0.0.1:99999", "10.0.0.1", "", "a b:1", "10.0.0.1:-1" }) {
        client.m_hub.connect("odd", it);
        cr_assert_not(client.m_hub.isConnected("odd"), "%s", it);
    }
}

} // namespace fescuegw::net
