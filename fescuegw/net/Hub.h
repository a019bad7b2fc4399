// Authenticated, encrypted message links between the system's processes, over ZeroMQ.
#pragma once

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fescuegw/base/Types.h"

namespace fescuegw::net {

// The key pair that all processes of one installation hold. An empty pair turns encryption and authentication off.
struct KeyPair {
    std::string publicKey;
    std::string secretKey;

    friend bool operator==(const KeyPair&, const KeyPair&) = default;
};

// Returns a new key pair.
KeyPair generateKeyPair();

// Returns the pair in `text`: two Z85 keys of 40 characters, public first, separated by white space.
Result<KeyPair> parseKeyPair(const std::string& text);

// The far end of a link: a process that connected to this one, by its identity, or one that this process connected to, by
// the name given to `connect`.
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
    // Where to accept links, as "ip:port"; empty to accept none.
    std::string listen;
    KeyPair keys;
    Duration tickInterval { std::chrono::milliseconds(20) };
    // A link whose far end has acknowledged nothing for this long is opened anew. Zero: only when it breaks.
    Duration silenceLimit {};
    // A link on which no message came for this long is probed, and opened anew when the probe is not answered for as long: a
    // forwarder between the hosts may acknowledge what it doesn't pass on.
    Duration probeLimit { std::chrono::milliseconds(1000) };
};

struct HubHooks {
    std::function<void(TimePoint, const Peer&, const std::string&)> onMessage;
    // Called for a message that was not handed to any socket: it will never arrive.
    std::function<void(TimePoint, const Peer&, const std::string&)> onUndeliverable;
    // Called once after each batch of received messages, and at least every tick interval.
    std::function<void(TimePoint)> onBatchEnd;
};

// Owns the sockets of one process and the thread that serves them. Hooks run on the thread that calls `run`.
// Both ends of a link must be hubs: they answer each other's probes. `send`, `post` and `stop` are thread-safe; `connect` and
// `disconnect` belong to the thread of `run` or come before it.
class Hub {
public:
    Hub(HubOptions, HubHooks);
    ~Hub();
    Hub(const Hub&) = delete;
    Hub& operator=(const Hub&) = delete;
    Hub(Hub&&) = delete;
    Hub& operator=(Hub&&) = delete;

    // Returns whether the listening socket is bound.
    Result<void> start();

    void connect(const std::string& name, const std::string& address);
    void disconnect(const std::string& name);
    bool isConnected(const std::string& name) const;

    // Queues `message` for `peer`. Messages to one peer arrive in order or not at all.
    void send(const Peer& peer, std::string message);

    // Queues `task` to run on the thread of `run`.
    void post(std::function<void(TimePoint)> task);

    // Sends what is queued without waiting for the end of the batch. Belongs to the thread of `run`.
    void flush(TimePoint now);

    // Serves the sockets until `stop`; what is queued then is still sent.
    void run();
    void stop();

private:
    struct Sockets;
    struct Outgoing {
        Peer peer;
        std::string message;
    };

    void wake();
    void probeLinks(TimePoint now);
    void receiveAccepted(TimePoint now);
    void receiveFrom(TimePoint now, const std::string& name);
    void runTasks(TimePoint now);
    bool transmit(const Outgoing&);

    HubOptions m_options;
    HubHooks m_hooks;
    std::unique_ptr<Sockets> m_sockets;
    std::mutex m_mutex;
    std::vector<Outgoing> m_outgoing;
    std::vector<std::function<void(TimePoint)>> m_tasks;
    std::atomic<bool> m_wakeRequested { false };
    std::atomic<bool> m_stopped { false };
    int m_wakeDescriptor = -1;
};

} // namespace fescuegw::net
