// Authenticated, encrypted messaging between the processes of an installation, over ZeroMQ.
#pragma once

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fescuegw/base/Types.h"

namespace fescuegw::net {

// CURVE key pair shared by all processes of an installation. An empty pair disables encryption and authentication.
struct KeyPair {
    std::string publicKey;
    std::string secretKey;

    friend bool operator==(const KeyPair&, const KeyPair&) = default;
};

KeyPair generateKeyPair();

// Parses two Z85 keys of 40 characters, public key first, separated by white space. Fails when a key has another length.
Result<KeyPair> parseKeyPair(const std::string& text);

// Remote end of a link. An accepted peer is named by its identity, a connected one by the name given to `connect`.
struct Peer {
    enum class Direction : uint8_t {
        Accepted,
        Connected,
    };
    Direction direction = Direction::Accepted;
    std::string name;

    friend auto operator<=>(const Peer&, const Peer&) = default;
};

struct HubOptions {
    std::string identity;
    // Address to accept links on, as "ip:port"; empty to accept none.
    std::string listen;
    KeyPair keys;
    Duration tickInterval { std::chrono::milliseconds(20) };
    // A link is reconnected when its peer's kernel has acknowledged nothing for this long. Zero: only when the connection breaks.
    Duration silenceLimit {};
    // A connected link that has received nothing for this long is probed, and reconnected when the probe is not answered within
    // the same time. Needed in addition to `silenceLimit`, since a forwarder between the hosts may acknowledge data that it does
    // not forward.
    Duration probeTimeout { std::chrono::milliseconds(1000) };
    // The present time.
    std::function<TimePoint()> clock { monotonicNow };
};

struct HubHooks {
    std::function<void(TimePoint, const Peer&, const std::string&)> onMessage;
    // Called for a message that no socket accepted. It is dropped and never arrives.
    std::function<void(TimePoint, const Peer&, const std::string&)> onUndeliverable;
    // Called once after each batch of received messages, and at least every tick interval.
    std::function<void(TimePoint)> onBatchEnd;
};

// Counts since the loop started: what an idle or busy process spends its time on.
struct HubCounters {
    std::atomic<uint64_t> waits { 0 };
    std::atomic<uint64_t> socketReads { 0 };
};

// Event loop over the ZeroMQ sockets of one process. Hooks run on the thread that calls `run`. Both ends of a link must be hubs,
// since they answer each other's probes. `send`, `post` and `stop` are thread-safe; `connect` and `disconnect` may be called only
// before `run` or on its thread.
class Hub {
public:
    Hub(HubOptions, HubHooks);
    ~Hub();
    Hub(const Hub&) = delete;
    Hub& operator=(const Hub&) = delete;
    Hub(Hub&&) = delete;
    Hub& operator=(Hub&&) = delete;

    // Binds the listening socket, if one is configured. Fails when the address cannot be bound.
    Result<void> start();

    void connect(const std::string& name, const std::string& address);
    void disconnect(const std::string& name);
    bool isConnected(const std::string& name) const;

    // Queues `message` for `peer`. Messages to one peer arrive in order or not at all.
    void send(const Peer& peer, std::string message);

    // Queues `task` to run on the thread of `run`.
    void post(std::function<void(TimePoint)> task);

    // Sends queued messages without waiting for the end of the batch. May be called only on the thread of `run`.
    void flush(TimePoint now);

    // Runs the event loop until `stop`, then sends the messages still queued.
    void run();
    void stop();

    // Thread-safe.
    const HubCounters& counters() const { return m_counters; }

private:
    struct Sockets;
    struct Outgoing {
        Peer peer;
        std::string message;
    };

    void wake();
    bool hasQueued();
    void receiveReadable(const std::vector<int>& descriptors);
    void probeLinks(TimePoint now);
    void receiveAccepted();
    void receiveFrom(const std::string& name);
    void runTasks();
    bool transmit(const Outgoing&);

    HubOptions m_options;
    HubHooks m_hooks;
    std::unique_ptr<Sockets> m_sockets;
    std::mutex m_mutex;
    std::vector<Outgoing> m_outgoing;
    std::vector<std::function<void(TimePoint)>> m_tasks;
    std::atomic<bool> m_wakeRequested { false };
    std::atomic<std::thread::id> m_loopThread;
    HubCounters m_counters;
    std::atomic<bool> m_stopped { false };
    int m_wakeDescriptor = -1;
};

} // namespace fescuegw::net
