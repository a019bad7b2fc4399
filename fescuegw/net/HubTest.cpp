// Links through a forwarder that still acknowledges data but stops forwarding it, and idle links.
#include <atomic>
#include <thread>

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

} // namespace fescuegw::net
