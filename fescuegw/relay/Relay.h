// A TCP proxy for tests and experiments that simulates network delay, partitions and connection resets between two processes.
#pragma once

#include <atomic>
#include <deque>
#include <list>
#include <string>
#include <thread>

#include "fescuegw/base/Types.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::relay {

// The direction in which bytes are no longer forwarded. Outward is from the connecting client to the target.
enum class Cut : uint8_t {
    None,
    Both,
    Outward,
    Inward,
};

// Forwards connections made to `listen` to `target`, delaying each byte by `delay`. While a cut is set, data in that direction
// is not forwarded, no connection is closed and none is accepted, as in a network partition without resets. Thread-safe.
class Relay {
public:
    Relay(settings::Address listen, settings::Address target, Duration delay);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
    Relay(Relay&&) = delete;
    Relay& operator=(Relay&&) = delete;

    Result<void> start();
    void setCut(bool cut) { setCut(cut ? Cut::Both : Cut::None); }
    void setCut(Cut cut) { m_cut = cut; }
    void setDelay(Duration delay) { m_delay = delay; }

    // Stops forwarding on the currently open connections without closing them. Later connections are forwarded.
    void silence() { m_silenceRequested = true; }

    // Closes all connections, as a restart of a network switch does.
    void reset() { m_resetRequested = true; }

    // With true, refuses new connections and then resets all open ones, as a host on which nothing listens, until called with
    // false.
    void setRefusing(bool);

private:
    struct Chunk {
        TimePoint due;
        std::string data;
        bool endOfStream = false;
    };
    struct Direction {
        std::deque<Chunk> chunks;
        bool endOfStreamRead = false;
    };
    struct Connection {
        int clientSocket = -1;
        int targetSocket = -1;
        Direction outward;
        Direction inward;
        bool closed = false;
        bool silent = false;
    };

    Result<void> openListener();
    void serve();
    void resetAll();
    void acceptConnection();
    void readFrom(TimePoint now, int descriptor, Direction&) const;
    static void writeTo(TimePoint now, int descriptor, Direction&, bool& closed);

    settings::Address m_listen;
    settings::Address m_target;
    std::atomic<Duration> m_delay;
    std::atomic<Cut> m_cut { Cut::None };
    std::atomic<bool> m_silenceRequested { false };
    std::atomic<bool> m_resetRequested { false };
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_refusing { false };
    std::atomic<bool> m_listenerShut { false };
    std::atomic<int> m_listener { -1 };
    std::list<Connection> m_connections;
    std::thread m_thread;
};

// Returns a free TCP port of the loopback interface and reserves it against other calls of this function, in any process.
uint16_t freePort();

} // namespace fescuegw::relay
