#include "fescuegw/net/Hub.h"

#include <array>
#include <optional>
#include <sstream>
#include <thread>

#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include "fescuegw/logging/Log.h"

namespace fescuegw::net {

namespace {

    constexpr size_t keyLength = 40;
    constexpr size_t rawKeyLength = 32;
    constexpr int highWaterMark = 100000;
    constexpr int lingerMs = 500;
    constexpr int minReconnectMs = 50;
    constexpr int maxReconnectMs = 200;
    // A host that is down does not answer a SYN, and the kernel retransmits a lost one only after seconds. Many times the
    // round-trip time between failure domains.
    constexpr int connectTimeoutMs = 200;
    // Messages received from one socket before the next socket is served.
    constexpr int receiveBurst = 512;

    // ZAP handler (ZeroMQ RFC 27) that accepts only the installation's own public key.
    class Authenticator {
    public:
        Authenticator(zmq::context_t& context, const std::string& publicKey)
            : m_socket(context, zmq::socket_type::rep)
        {
            std::array<uint8_t, rawKeyLength> buf {};
            zmq_z85_decode(buf.data(), publicKey.c_str());
            m_allowedKey.assign(buf.begin(), buf.end());
            m_socket.bind("inproc://zeromq.zap.01");
            m_thread = std::thread([this] { serve(); });
        }

        void join() { m_thread.join(); }

    private:
        void serve()
        {
            try {
                while (true) {
                    const std::vector<std::string> request = receiveParts();
                    reply(request);
                }
            } catch (const zmq::error_t&) {
                // The context was shut down.
                m_socket.close();
            }
        }

        std::vector<std::string> receiveParts()
        {
            std::vector<std::string> parts;
            zmq::message_t message;
            do {
                (void)m_socket.recv(message);
                parts.push_back(message.to_string());
            } while (message.more());
            return parts;
        }

        void reply(const std::vector<std::string>& request)
        {
            constexpr size_t publicKeyFrame = 6;
            const bool allowed = request.size() > publicKeyFrame && request[publicKeyFrame] == m_allowedKey;
            const std::string id = request.size() > 1 ? request[1] : "";
            const std::array<std::string, 6> parts { "1.0", id, allowed ? "200" : "400", allowed ? "OK" : "unknown key",
                "installation", "" };
            for (size_t i = 0; i < parts.size(); ++i)
                m_socket.send(zmq::buffer(parts[i]), i + 1 < parts.size() ? zmq::send_flags::sndmore : zmq::send_flags::none);
        }

        zmq::socket_t m_socket;
        std::string m_allowedKey;
        std::thread m_thread;
    };

    // A host that loses power or a path that drops packets closes no connection, so only a time-out detects it. Uses TCP
    // keepalive and TCP_USER_TIMEOUT instead of libzmq's heartbeats: a ping due on a connection that has just failed aborts the
    // process (libzmq 4.3.4, "Assertion failed: !_io_error").
    void setSilenceLimit(zmq::socket_t& socket, Duration limit)
    {
        constexpr int keepAliveSeconds = 1;
        const auto ms = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
        if (ms == 0)
            return;
        socket.set(zmq::sockopt::tcp_keepalive, 1);
        socket.set(zmq::sockopt::tcp_keepalive_idle, keepAliveSeconds);
        socket.set(zmq::sockopt::tcp_keepalive_intvl, keepAliveSeconds);
        socket.set(zmq::sockopt::tcp_keepalive_cnt, 1);
        socket.set(zmq::sockopt::tcp_maxrt, ms);
        socket.set(zmq::sockopt::handshake_ivl, ms);
    }

    void setCommonOptions(zmq::socket_t& socket)
    {
        socket.set(zmq::sockopt::linger, lingerMs);
        socket.set(zmq::sockopt::sndhwm, highWaterMark);
        socket.set(zmq::sockopt::rcvhwm, highWaterMark);
        socket.set(zmq::sockopt::reconnect_ivl, minReconnectMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectMs);
        socket.set(zmq::sockopt::connect_timeout, connectTimeoutMs);
    }

    std::string endpoint(const std::string& address) { return "tcp://" + address; }

} // namespace

KeyPair generateKeyPair()
{
    std::array<char, keyLength + 1> publicKey {};
    std::array<char, keyLength + 1> secretKey {};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return KeyPair { publicKey.data(), secretKey.data() };
}

Result<KeyPair> parseKeyPair(const std::string& text)
{
    std::istringstream stream(text);
    KeyPair keys;
    stream >> keys.publicKey >> keys.secretKey;
    if (keys.publicKey.size() != keyLength || keys.secretKey.size() != keyLength)
        return tl::unexpected(Error { Verdict::NotRun, 500, "allowed: two Z85 keys of 40 characters" });
    return keys;
}

struct Hub::Sockets {
    // A link opened by this process.
    struct Dealer {
        std::string address;
        std::unique_ptr<zmq::socket_t> socket;
        TimePoint lastHeard;
        // Time of the unanswered probe, if there is one.
        std::optional<TimePoint> probeSentAt;
    };

    zmq::context_t context { 1 };
    std::unique_ptr<Authenticator> authenticator;
    std::unique_ptr<zmq::socket_t> router;
    std::map<std::string, Dealer> dealers;
};

Hub::Hub(HubOptions options, HubHooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_sockets(std::make_unique<Sockets>())
    , m_wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

Hub::~Hub()
{
    m_sockets->dealers.clear();
    m_sockets->router.reset();
    m_sockets->context.shutdown();
    if (m_sockets->authenticator)
        m_sockets->authenticator->join();
    m_sockets.reset();
    close(m_wakeDescriptor);
}

Result<void> Hub::start()
{
    if (m_options.listen.empty())
        return {};
    try {
        auto router = std::make_unique<zmq::socket_t>(m_sockets->context, zmq::socket_type::router);
        setCommonOptions(*router);
        setSilenceLimit(*router, m_options.silenceLimit);
        router->set(zmq::sockopt::router_mandatory, true);
        router->set(zmq::sockopt::router_handover, true);
        if (!m_options.keys.secretKey.empty()) {
            m_sockets->authenticator = std::make_unique<Authenticator>(m_sockets->context, m_options.keys.publicKey);
            router->set(zmq::sockopt::curve_server, true);
            router->set(zmq::sockopt::curve_secretkey, m_options.keys.secretKey);
        }
        router->bind(endpoint(m_options.listen));
        m_sockets->router = std::move(router);
    } catch (const zmq::error_t& error) {
        return tl::unexpected(Error { Verdict::NotRun, 500, m_options.listen + ": " + error.what() });
    }
    return {};
}

void Hub::connect(const std::string& name, const std::string& address)
{
    auto dealer = std::make_unique<zmq::socket_t>(m_sockets->context, zmq::socket_type::dealer);
    setCommonOptions(*dealer);
    setSilenceLimit(*dealer, m_options.silenceLimit);
    // Without a connection, messages are reported as undeliverable instead of being queued.
    dealer->set(zmq::sockopt::immediate, true);
    dealer->set(zmq::sockopt::routing_id, m_options.identity);
    if (!m_options.keys.secretKey.empty()) {
        dealer->set(zmq::sockopt::curve_serverkey, m_options.keys.publicKey);
        dealer->set(zmq::sockopt::curve_publickey, m_options.keys.publicKey);
        dealer->set(zmq::sockopt::curve_secretkey, m_options.keys.secretKey);
    }
    dealer->connect(endpoint(address));
    m_sockets->dealers[name] = Sockets::Dealer { address, std::move(dealer), monotonicNow(), std::nullopt };
}

void Hub::disconnect(const std::string& name) { m_sockets->dealers.erase(name); }

bool Hub::isConnected(const std::string& name) const { return m_sockets->dealers.contains(name); }

void Hub::send(const Peer& peer, std::string message)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_outgoing.push_back(Outgoing { peer, std::move(message) });
    }
    wake();
}

void Hub::post(std::function<void(TimePoint)> task)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    wake();
}

void Hub::wake()
{
    if (m_wakeRequested.exchange(true))
        return;
    const uint64_t one = 1;
    (void)!write(m_wakeDescriptor, &one, sizeof one);
}

void Hub::runTasks(TimePoint now)
{
    std::vector<std::function<void(TimePoint)>> tasks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (const auto& it : tasks)
        it(now);
}

void Hub::run()
{
    while (!m_stopped) {
        std::vector<zmq::pollitem_t> items;
        std::vector<std::string> names;
        items.push_back({ nullptr, m_wakeDescriptor, ZMQ_POLLIN, 0 });
        for (const auto& it : m_sockets->dealers) {
            items.push_back({ it.second.socket->handle(), 0, ZMQ_POLLIN, 0 });
            names.push_back(it.first);
        }
        if (m_sockets->router)
            items.push_back({ m_sockets->router->handle(), 0, ZMQ_POLLIN, 0 });
        zmq::poll(items, std::chrono::duration_cast<std::chrono::milliseconds>(m_options.tickInterval));
        if (m_wakeRequested) {
            uint64_t n = 0;
            (void)!read(m_wakeDescriptor, &n, sizeof n);
            m_wakeRequested = false;
        }
        const TimePoint now = monotonicNow();
        if (m_sockets->router && (items.back().revents & ZMQ_POLLIN) != 0)
            receiveAccepted(now);
        for (size_t i = 0; i < names.size(); ++i)
            if ((items[i + 1].revents & ZMQ_POLLIN) != 0)
                receiveFrom(now, names[i]);
        probeLinks(now);
        runTasks(monotonicNow());
        m_hooks.onBatchEnd(monotonicNow());
        flush(monotonicNow());
    }
    flush(monotonicNow());
}

// A probe and its answer are empty messages. Reconnecting loses messages in flight, as a broken connection does.
void Hub::probeLinks(TimePoint now)
{
    std::vector<std::pair<std::string, std::string>> unresponsive;
    for (auto& it : m_sockets->dealers) {
        Sockets::Dealer& dealer = it.second;
        if (dealer.probeSentAt && now - *dealer.probeSentAt > m_options.probeTimeout)
            unresponsive.emplace_back(it.first, dealer.address);
        else if (!dealer.probeSentAt && now - dealer.lastHeard > m_options.probeTimeout
            && transmit({ { Peer::Direction::Connected, it.first }, "" }))
            dealer.probeSentAt = now;
    }
    for (const auto& [name, address] : unresponsive) {
        logging::Event(logging::Level::Warn, "link_reopened")
            .with("peer", name)
            .with("address", address)
            .with("silent_ms", toMs(now - m_sockets->dealers.at(name).lastHeard));
        connect(name, address);
    }
}

void Hub::stop()
{
    m_stopped = true;
    wake();
}

void Hub::receiveAccepted(TimePoint now)
{
    zmq::message_t message;
    for (int n = 0; n < receiveBurst && m_sockets->router->recv(message, zmq::recv_flags::dontwait); ++n) {
        const Peer peer { Peer::Direction::Accepted, message.to_string() };
        if (!message.more() || !m_sockets->router->recv(message))
            continue;
        // A probe. If the answer cannot be sent, the peer reconnects.
        if (message.empty()) {
            (void)transmit({ peer, "" });
            continue;
        }
        m_hooks.onMessage(now, peer, message.to_string());
    }
}

void Hub::receiveFrom(TimePoint now, const std::string& name)
{
    zmq::message_t message;
    for (int n = 0; n < receiveBurst; ++n) {
        // A hook may have disconnected the peer in the meantime.
        const auto found = m_sockets->dealers.find(name);
        if (found == m_sockets->dealers.end() || !found->second.socket->recv(message, zmq::recv_flags::dontwait))
            break;
        found->second.lastHeard = now;
        found->second.probeSentAt = std::nullopt;
        if (!message.empty())
            m_hooks.onMessage(now, Peer { Peer::Direction::Connected, name }, message.to_string());
    }
}

void Hub::flush(TimePoint now)
{
    std::vector<Outgoing> outgoing;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        outgoing.swap(m_outgoing);
    }
    for (const auto& it : outgoing)
        if (!transmit(it))
            m_hooks.onUndeliverable(now, it.peer, it.message);
}

bool Hub::transmit(const Outgoing& outgoing)
{
    try {
        if (outgoing.peer.direction == Peer::Direction::Connected) {
            const auto found = m_sockets->dealers.find(outgoing.peer.name);
            if (found == m_sockets->dealers.end())
                return false;
            return found->second.socket->send(zmq::buffer(outgoing.message), zmq::send_flags::dontwait).has_value();
        }
        if (!m_sockets->router)
            return false;
        const zmq::send_flags first = zmq::send_flags::sndmore | zmq::send_flags::dontwait;
        if (!m_sockets->router->send(zmq::buffer(outgoing.peer.name), first))
            return false;
        return m_sockets->router->send(zmq::buffer(outgoing.message), zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t&) {
        // EHOSTUNREACH: the peer is not connected.
        return false;
    }
}

} // namespace fescuegw::net
