#include "fescuegw/net/Hub.h"

#include <array>
#include <optional>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include "fescuegw/logging/Log.h"
#include "fescuegw/settings/Settings.h"

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
    // Descriptors reported by one wait; the others are reported by the next one.
    constexpr size_t maxEventsPerWait = 64;

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

    // Waits on the descriptors of ZeroMQ sockets. zmq_poll makes system calls for each socket on every wait, which dominates the
    // cost of a process with many mostly idle links; here a wait costs one system call however many links there are.
    //
    // A ZeroMQ descriptor reports commands to the socket, not messages: it becomes readable when a command arrives, and any call
    // on the socket may consume the command. So a socket has to be read until it is empty when its descriptor is readable, and
    // has to be checked again after it was used in any other way.
    class DescriptorSet {
    public:
        DescriptorSet()
            : m_epoll(epoll_create1(EPOLL_CLOEXEC))
        {
        }
        ~DescriptorSet() { close(m_epoll); }
        DescriptorSet(const DescriptorSet&) = delete;
        DescriptorSet& operator=(const DescriptorSet&) = delete;
        DescriptorSet(DescriptorSet&&) = delete;
        DescriptorSet& operator=(DescriptorSet&&) = delete;

        void add(int descriptor)
        {
            epoll_event event {};
            event.events = EPOLLIN;
            event.data.fd = descriptor;
            epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
        }

        void remove(int descriptor) { epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr); }

        std::vector<int> wait(Duration timeout)
        {
            std::array<epoll_event, maxEventsPerWait> events {};
            const auto ms = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
            const int n = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), ms);
            std::vector<int> readable;
            readable.reserve(events.size());
            for (int i = 0; i < n; ++i)
                readable.push_back(events.at(static_cast<size_t>(i)).data.fd);
            return readable;
        }

    private:
        int m_epoll;
    };

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
        int descriptor = -1;
        TimePoint lastHeard;
        // Time of the unanswered probe, if there is one.
        std::optional<TimePoint> probeSentAt;
    };

    zmq::context_t context { 1 };
    std::unique_ptr<Authenticator> authenticator;
    std::unique_ptr<zmq::socket_t> router;
    std::map<std::string, Dealer> dealers;
    DescriptorSet descriptors;
    std::map<int, std::string> dealerNames;
    // Sockets that may hold messages although their descriptors are not readable.
    bool routerUnread = false;
    std::set<std::string> unreadDealers;

    bool hasUnread() const { return routerUnread || !unreadDealers.empty(); }

    static bool hasMessage(const zmq::socket_t& socket) { return (socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0; }

    // Marks the sockets in `used` that hold messages as unread.
    void checkUsed(bool routerUsed, const std::set<std::string>& used)
    {
        routerUnread = routerUnread || (routerUsed && router && hasMessage(*router));
        for (const auto& it : used)
            if (const auto found = dealers.find(it); found != dealers.end() && hasMessage(*found->second.socket))
                unreadDealers.insert(it);
    }

    void removeDealer(const std::string& name)
    {
        const auto found = dealers.find(name);
        if (found == dealers.end())
            return;
        descriptors.remove(found->second.descriptor);
        dealerNames.erase(found->second.descriptor);
        unreadDealers.erase(name);
        dealers.erase(found);
    }
};

Hub::Hub(HubOptions options, HubHooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_sockets(std::make_unique<Sockets>())
    , m_wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    m_sockets->descriptors.add(m_wakeDescriptor);
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
        m_sockets->descriptors.add(router->get(zmq::sockopt::fd));
        m_sockets->router = std::move(router);
    } catch (const zmq::error_t& error) {
        return tl::unexpected(Error { Verdict::NotRun, 500, m_options.listen + ": " + error.what() });
    }
    return {};
}

void Hub::connect(const std::string& name, const std::string& address)
{
    // Addresses come from lists that other processes write. libzmq throws for some unusable ones, connects to another port for
    // those out of range, and looks up names.
    if (!settings::parseAddress(address)) {
        logging::Event(logging::Level::Warn, "link_refused").with("peer", name).with("address", address);
        return;
    }
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
    const int descriptor = dealer->get(zmq::sockopt::fd);
    m_sockets->removeDealer(name);
    m_sockets->dealers[name] = Sockets::Dealer { address, std::move(dealer), descriptor, m_options.clock(), std::nullopt };
    m_sockets->dealerNames[descriptor] = name;
    m_sockets->descriptors.add(descriptor);
}

void Hub::disconnect(const std::string& name) { m_sockets->removeDealer(name); }

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

// The loop's own thread needs no wake-up: it handles what was queued before it waits again.
void Hub::wake()
{
    if (m_loopThread == std::this_thread::get_id() || m_wakeRequested.exchange(true))
        return;
    const uint64_t one = 1;
    (void)!write(m_wakeDescriptor, &one, sizeof one);
}

// The time is taken after the tasks: a task that another thread posts in between would be handled with a time before what it
// tells of.
void Hub::runTasks()
{
    std::vector<std::function<void(TimePoint)>> tasks;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        tasks.swap(m_tasks);
    }
    const TimePoint now = m_options.clock();
    for (const auto& it : tasks)
        it(now);
}

bool Hub::hasQueued()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return !m_outgoing.empty() || !m_tasks.empty();
}

void Hub::run()
{
    m_loopThread = std::this_thread::get_id();
    while (!m_stopped) {
        const bool idle = !hasQueued() && !m_sockets->hasUnread();
        receiveReadable(m_sockets->descriptors.wait(idle ? m_options.tickInterval : Duration()));
        probeLinks(m_options.clock());
        runTasks();
        m_hooks.onBatchEnd(m_options.clock());
        flush(m_options.clock());
    }
    flush(m_options.clock());
}

void Hub::receiveReadable(const std::vector<int>& descriptors)
{
    bool readRouter = std::exchange(m_sockets->routerUnread, false);
    std::set<std::string> names;
    names.swap(m_sockets->unreadDealers);
    for (const int it : descriptors) {
        if (it == m_wakeDescriptor) {
            uint64_t n = 0;
            (void)!read(m_wakeDescriptor, &n, sizeof n);
            m_wakeRequested = false;
        } else if (const auto found = m_sockets->dealerNames.find(it); found != m_sockets->dealerNames.end()) {
            names.insert(found->second);
        } else {
            readRouter = true;
        }
    }
    ++m_counters.waits;
    m_counters.socketReads += names.size() + (readRouter ? 1 : 0);
    if (m_sockets->router && readRouter)
        receiveAccepted();
    for (const auto& it : names)
        receiveFrom(it);
}

// A probe and its answer are empty messages. Reconnecting loses messages in flight, as a broken connection does.
void Hub::probeLinks(TimePoint now)
{
    std::vector<std::pair<std::string, std::string>> unresponsive;
    std::set<std::string> probed;
    for (auto& it : m_sockets->dealers) {
        Sockets::Dealer& dealer = it.second;
        if (dealer.probeSentAt && now - *dealer.probeSentAt > m_options.probeTimeout)
            unresponsive.emplace_back(it.first, dealer.address);
        else if (!dealer.probeSentAt && now - dealer.lastHeard > m_options.probeTimeout
            && transmit({ { Peer::Direction::Connected, it.first }, "" })) {
            dealer.probeSentAt = now;
            probed.insert(it.first);
        }
    }
    m_sockets->checkUsed(false, probed);
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

// Each message is handled with the time at which it was taken from its socket: the process may have stood still, or worked on the
// messages before, since the wait.
void Hub::receiveAccepted()
{
    zmq::message_t message;
    for (int n = 0; m_sockets->router->recv(message, zmq::recv_flags::dontwait); ++n) {
        m_sockets->routerUnread = n + 1 == receiveBurst;
        const Peer peer { Peer::Direction::Accepted, message.to_string() };
        if (message.more() && m_sockets->router->recv(message)) {
            // An empty message is a probe. If the answer cannot be sent, the peer reconnects.
            if (message.empty())
                (void)transmit({ peer, "" });
            else
                m_hooks.onMessage(m_options.clock(), peer, message.to_string());
        }
        if (m_sockets->routerUnread)
            return;
    }
}

void Hub::receiveFrom(const std::string& name)
{
    zmq::message_t message;
    for (int n = 0; n < receiveBurst; ++n) {
        // A hook may have disconnected the peer in the meantime.
        const auto found = m_sockets->dealers.find(name);
        if (found == m_sockets->dealers.end() || !found->second.socket->recv(message, zmq::recv_flags::dontwait))
            return;
        const TimePoint now = m_options.clock();
        found->second.lastHeard = now;
        found->second.probeSentAt = std::nullopt;
        if (!message.empty())
            m_hooks.onMessage(now, Peer { Peer::Direction::Connected, name }, message.to_string());
    }
    m_sockets->unreadDealers.insert(name);
}

void Hub::flush(TimePoint now)
{
    std::vector<Outgoing> outgoing;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        outgoing.swap(m_outgoing);
    }
    bool routerUsed = false;
    std::set<std::string> used;
    for (const auto& it : outgoing) {
        if (it.peer.direction == Peer::Direction::Connected)
            used.insert(it.peer.name);
        else
            routerUsed = true;
        if (!transmit(it))
            m_hooks.onUndeliverable(now, it.peer, it.message);
    }
    m_sockets->checkUsed(routerUsed, used);
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
