// HTTP/1.1 over plain sockets, as callers, workers and the operator of the platform speak it, and the record of a case.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct Address {
    std::string ip;
    uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

// Milliseconds on a steady clock.
int64_t nowMs();

void sleepMs(int64_t ms);

// The lines of record.txt: what was sent, answered and run. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::string m_path;
    int64_t m_start = 0;
};

struct Message {
    std::string method;
    std::string path;
    int status = 0;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
};

struct Reply {
    // 0 closes the connection without an answer.
    int status = 200;
    std::string body;
};

// Reads one message from `descriptor`; `buf` keeps what follows it. Returns false at the end of the connection, or at `dueMs`.
bool readMessage(int descriptor, std::string& buf, int64_t dueMs, Message& message);

bool sendAll(int descriptor, const std::string& data);

// Returns a connected descriptor, or -1.
int connectTo(const Address& address, int64_t timeoutMs);

// Sends one request on a connection of its own, once. Returns 0 as the status if there was no whole answer.
Reply call(const Address& address, const std::string& method, const std::string& path, const std::string& headers,
    const std::string& body, int64_t timeoutMs);

// One thread for each connection.
class Server {
public:
    using Handler = std::function<Reply(const Message&)>;

    Server(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }
    ~Server() { close(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    Server(Server&&) = delete;
    Server& operator=(Server&&) = delete;

    bool open();
    // Resets all connections and refuses new ones. Returns once no handler runs.
    void close();

private:
    void acceptAll(int listener);
    void serve(int descriptor);

    Address m_address;
    Handler m_handler;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
    std::atomic<int> m_listener { -1 };
    std::atomic<bool> m_closing { false };
};

} // namespace review
