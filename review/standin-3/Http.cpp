#include "Http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <fstream>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr size_t readSize = 16384;
    constexpr int backlog = 128;
    constexpr int64_t pollMs = 50;
    // Longer than any connection of a case is open.
    constexpr int64_t idleMs = 300000;

    sockaddr_in socketAddress(const Address& address)
    {
        sockaddr_in in {};
        in.sin_family = AF_INET;
        in.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &in.sin_addr);
        return in;
    }

    void setOption(int descriptor, int level, int option)
    {
        const int on = 1;
        setsockopt(descriptor, level, option, &on, sizeof on);
    }

    // Fills in what stands before the body. Returns its length, or 0 if it is not complete.
    size_t parseHead(const std::string& buf, Message& message)
    {
        const size_t end = buf.find("\r\n\r\n");
        if (end == std::string::npos)
            return 0;
        size_t lineEnd = buf.find("\r\n");
        const std::string first = buf.substr(0, lineEnd);
        const size_t space = first.find(' ');
        const size_t second = first.find(' ', space + 1);
        message = Message();
        message.method = first.substr(0, space);
        message.path = first.substr(space + 1, second - space - 1);
        std::from_chars(message.path.data(), message.path.data() + message.path.size(), message.status);
        while (lineEnd < end) {
            const size_t start = lineEnd + 2;
            lineEnd = buf.find("\r\n", start);
            const std::string line = buf.substr(start, lineEnd - start);
            const size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        return end + 4;
    }

} // namespace

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

Record::Record(const std::string& path)
    : m_path(path)
    , m_start(nowMs())
{
    std::ofstream(m_path, std::ios::trunc);
}

void Record::write(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::ofstream(m_path, std::ios::app) << nowMs() - m_start << " ms " << line << '\n';
}

std::string Message::header(const std::string& name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
}

bool readMessage(int descriptor, std::string& buf, int64_t dueMs, Message& message)
{
    while (true) {
        if (const size_t head = parseHead(buf, message); head > 0) {
            size_t length = 0;
            const std::string announced = message.header("content-length");
            std::from_chars(announced.data(), announced.data() + announced.size(), length);
            if (buf.size() >= head + length) {
                message.body = buf.substr(head, length);
                buf.erase(0, head + length);
                return true;
            }
        }
        pollfd it { descriptor, POLLIN, 0 };
        const int64_t left = dueMs - nowMs();
        if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0)
            return false;
        std::string part(readSize, '\0');
        const ssize_t n = recv(descriptor, part.data(), part.size(), 0);
        if (n <= 0)
            return false;
        buf.append(part, 0, static_cast<size_t>(n));
    }
}

bool sendAll(int descriptor, const std::string& data)
{
    size_t sent = 0;
    while (sent < data.size()) {
        const ssize_t n = send(descriptor, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

int connectTo(const Address& address, int64_t timeoutMs)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit {};
    limit.tv_sec = timeoutMs / 1000;
    limit.tv_usec = timeoutMs % 1000 * 1000;
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in in = socketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&in), sizeof in) != 0) {
        ::close(descriptor);
        return -1;
    }
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY);
    return descriptor;
}

Reply call(const Address& address, const std::string& method, const std::string& path, const std::string& headers,
    const std::string& body, int64_t timeoutMs)
{
    const int64_t due = nowMs() + timeoutMs;
    const int descriptor = connectTo(address, timeoutMs);
    if (descriptor < 0)
        return { 0, "not connected" };
    const std::string host = headers.find("Host:") == std::string::npos ? "Host: " + address.text() + "\r\n" : "";
    std::string buf;
    Message answer;
    const bool answered
        = sendAll(descriptor,
              method + " " + path + " HTTP/1.1\r\n" + host + headers
                  + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
        && readMessage(descriptor, buf, due, answer);
    ::close(descriptor);
    return answered ? Reply { answer.status, answer.body } : Reply { 0, nowMs() < due ? "broken" : "timed out" };
}

bool Server::open()
{
    m_closing = false;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setOption(listener, SOL_SOCKET, SO_REUSEADDR);
    const sockaddr_in in = socketAddress(m_address);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&in), sizeof in) != 0 || listen(listener, backlog) != 0) {
        ::close(listener);
        return false;
    }
    m_listener = listener;
    m_acceptor = std::thread([this, listener] { acceptAll(listener); });
    return true;
}

void Server::close()
{
    m_closing = true;
    if (m_acceptor.joinable())
        m_acceptor.join();
    std::vector<std::thread> threads;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int it : m_connections) {
            const linger reset { 1, 0 };
            setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(it, SHUT_RD);
        }
        threads.swap(m_threads);
    }
    for (auto& it : threads)
        it.join();
}

void Server::acceptAll(int listener)
{
    constexpr int acceptPollMs = 2;
    while (!m_closing) {
        pollfd it { listener, POLLIN, 0 };
        if (poll(&it, 1, acceptPollMs) <= 0)
            continue;
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        setOption(descriptor, IPPROTO_TCP, TCP_NODELAY);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.insert(descriptor);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
    ::close(listener);
    m_listener = -1;
}

void Server::serve(int descriptor)
{
    std::string buf;
    Message request;
    while (!m_closing && readMessage(descriptor, buf, nowMs() + idleMs, request)) {
        const Reply reply = m_handler(request);
        if (m_closing || reply.status == 0)
            break;
        if (!sendAll(descriptor,
                "HTTP/1.1 " + std::to_string(reply.status) + " -\r\nContent-Type: application/json\r\nContent-Length: "
                    + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body))
            break;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_connections.erase(descriptor);
    ::close(descriptor);
}

} // namespace review
