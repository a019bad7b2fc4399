#include "fescuegw/relay/Relay.h"

#include <algorithm>
#include <array>
#include <vector>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fescuegw::relay {

namespace {

    constexpr size_t bufferSize = 64U << 10U;
    constexpr int backlog = 512;
    constexpr Duration maxPollInterval = std::chrono::milliseconds(50);
    // Delay before the next write to a receiver whose socket buffer is full.
    constexpr Duration writeRetryInterval = std::chrono::microseconds(300);

    sockaddr_in toSocketAddress(const settings::Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
        return result;
    }

    void configureSocket(int descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        fcntl(descriptor, F_SETFL, O_NONBLOCK);
    }

} // namespace

Relay::Relay(settings::Address listen, settings::Address target, Duration delay)
    : m_listen(std::move(listen))
    , m_target(std::move(target))
    , m_delay(delay)
{
}

Relay::~Relay()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
    for (const auto& it : m_connections) {
        close(it.clientSocket);
        close(it.targetSocket);
    }
    if (m_listener >= 0)
        close(m_listener);
}

Result<void> Relay::openListener()
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = toSocketAddress(m_listen);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(listener, backlog) != 0) {
        close(listener);
        return tl::unexpected(Error { Verdict::NotRun, 500, m_listen.text() + ": can't listen" });
    }
    fcntl(listener, F_SETFL, O_NONBLOCK);
    m_listener = listener;
    return {};
}

Result<void> Relay::start()
{
    auto opened = openListener();
    if (opened)
        m_thread = std::thread([this] { serve(); });
    return opened;
}

// The listener refuses before this returns, so that no peer of a connection that is reset finds it open; its end wakes the
// thread.
void Relay::setRefusing(bool refusing)
{
    if (m_refusing.exchange(refusing) || !refusing)
        return;
    shutdown(m_listener, SHUT_RDWR);
    m_listenerShut = true;
}

void Relay::resetAll()
{
    // Without lingering, closing resets.
    const linger none { 1, 0 };
    for (const auto& it : m_connections) {
        setsockopt(it.clientSocket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        close(it.clientSocket);
        close(it.targetSocket);
    }
    m_connections.clear();
}

void Relay::acceptConnection()
{
    const int clientSocket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (clientSocket < 0)
        return;
    const int targetSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = toSocketAddress(m_target);
    if (connect(targetSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(clientSocket);
        close(targetSocket);
        return;
    }
    configureSocket(clientSocket);
    configureSocket(targetSocket);
    Connection& added = m_connections.emplace_back();
    added.clientSocket = clientSocket;
    added.targetSocket = targetSocket;
}

void Relay::readFrom(TimePoint now, int descriptor, Direction& direction) const
{
    std::array<char, bufferSize> buf {};
    while (!direction.endOfStreamRead) {
        const ssize_t n = read(descriptor, buf.data(), buf.size());
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        direction.endOfStreamRead = n <= 0;
        direction.chunks.push_back(
            Chunk { now + m_delay.load(), std::string(buf.data(), n > 0 ? static_cast<size_t>(n) : 0), n <= 0 });
    }
}

void Relay::writeTo(TimePoint now, int descriptor, Direction& direction, bool& closed)
{
    while (!direction.chunks.empty() && direction.chunks.front().due <= now) {
        Chunk& chunk = direction.chunks.front();
        if (chunk.endOfStream) {
            shutdown(descriptor, SHUT_WR);
            direction.chunks.pop_front();
            continue;
        }
        const ssize_t n = send(descriptor, chunk.data.data(), chunk.data.size(), MSG_NOSIGNAL);
        if (n < 0) {
            closed = errno != EAGAIN && errno != EINTR;
            return;
        }
        chunk.data.erase(0, static_cast<size_t>(n));
        if (chunk.data.empty())
            direction.chunks.pop_front();
    }
}

void Relay::serve()
{
    while (!m_stopping) {
        const TimePoint before = monotonicNow();
        TimePoint next = before + maxPollInterval;
        const Cut cut = m_cut;
        std::vector<pollfd> items { { cut == Cut::None ? m_listener.load() : -1, POLLIN, 0 } };
        for (const auto& it : m_connections) {
            if (it.silent)
                continue;
            items.push_back({ it.outward.endOfStreamRead || cut == Cut::Outward ? -1 : it.clientSocket, POLLIN, 0 });
            items.push_back({ it.inward.endOfStreamRead || cut == Cut::Inward ? -1 : it.targetSocket, POLLIN, 0 });
            if (cut != Cut::Outward && !it.outward.chunks.empty())
                next = std::min(next, std::max(it.outward.chunks.front().due, before + writeRetryInterval));
            if (cut != Cut::Inward && !it.inward.chunks.empty())
                next = std::min(next, std::max(it.inward.chunks.front().due, before + writeRetryInterval));
        }
        const auto wait = std::max(next - before, Duration(0));
        const timespec timeout { 0, static_cast<long>(wait.count()) * 1000 };
        if (cut == Cut::Both) {
            std::this_thread::sleep_for(maxPollInterval);
            continue;
        }
        ppoll(items.data(), items.size(), &timeout, nullptr);
        if (m_listenerShut.exchange(false)) {
            close(m_listener.exchange(-1));
            resetAll();
        }
        if (m_listener < 0) {
            if (!m_refusing)
                (void)openListener();
            continue;
        }
        const TimePoint now = monotonicNow();
        const bool silence = m_silenceRequested.exchange(false);
        for (auto& it : m_connections) {
            it.silent = it.silent || silence;
            if (it.silent) {
                it.closed = m_resetRequested;
                continue;
            }
            if (cut != Cut::Outward) {
                readFrom(now, it.clientSocket, it.outward);
                writeTo(now, it.targetSocket, it.outward, it.closed);
            }
            if (cut != Cut::Inward) {
                readFrom(now, it.targetSocket, it.inward);
                writeTo(now, it.clientSocket, it.inward, it.closed);
            }
            const bool outwardDone = it.outward.endOfStreamRead && it.outward.chunks.empty();
            const bool inwardDone = it.inward.endOfStreamRead && it.inward.chunks.empty();
            it.closed = it.closed || (outwardDone && inwardDone) || m_resetRequested;
        }
        m_resetRequested = false;
        std::erase_if(m_connections, [](const Connection& it) {
            if (!it.closed)
                return false;
            close(it.clientSocket);
            close(it.targetSocket);
            return true;
        });
        if (cut == Cut::None)
            acceptConnection();
    }
}

uint16_t freePort()
{
    // Below the ephemeral port range: an outgoing connection could take a port of that range before the caller binds it.
    constexpr uint16_t firstPort = 10000;
    constexpr uint16_t portCount = 22000;
    while (true) {
        const sockaddr_in address
            = toSocketAddress({ "127.0.0.1", static_cast<uint16_t>(firstPort + randomIdentity() % portCount) });
        // The UDP port of the same number stays bound until this process ends, so that other processes that call freePort()
        // skip it.
        const int reservation = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool reserved = bind(reservation, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        const bool free = reserved && bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(probe);
        if (free)
            return ntohs(address.sin_port);
        close(reservation);
    }
}

} // namespace fescuegw::relay
