// A TCP forwarder with a one-way delay that can be cut: the network between two processes, for tests and experiments.
#pragma once

#include <atomic>
#include <deque>
#include <list>
#include <string>
#include <thread>

#include "fescuegw/base/Types.h"
#include "fescuegw/settings/Settings.h"

namespace fescuegw::relay {

// Which way bytes no longer pass. Outward is from who connected to the target.
enum class Cut : uint8_t {
    None,
    Both,
    Outward,
    Inward,
};

// Forwards every connection to `listen` on to `target`, each byte `delay` later. While cut it neither forwards nor closes, as
// a silent partition does, and accepts nobody. Thread-safe.
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

    // Forwards nothing more on the connections that are open now, and does not close them; later ones are served.
    void silence() { m_silence = true; }

    // Closes all connections, as a restarted switch does.
    void reset() { m_reset = true; }

private:
    struct Chunk {
        TimePoint due;
        std::string data;
        bool end = false;
    };
    struct Direction {
        std::deque<Chunk> chunks;
        bool readEnded = false;
    };
    struct Connection {
        int near = -1;
        int far = -1;
        Direction outward;
        Direction inward;
        bool closed = false;
        bool silent = false;
    };

    void serve();
    void acceptOne();
    void readFrom(TimePoint now, int descriptor, Direction&) const;
    static void writeTo(TimePoint now, int descriptor, Direction&, bool& closed);

    settings::Address m_listen;
    settings::Address m_target;
    std::atomic<Duration> m_delay;
    std::atomic<Cut> m_cut { Cut::None };
    std::atomic<bool> m_silence { false };
    std::atomic<bool> m_reset { false };
    std::atomic<bool> m_finished { false };
    int m_listener = -1;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

// Returns a TCP port of the loopback interface that is free, and keeps it from being given to others that ask in this way.
uint16_t freePort();

} // namespace fescuegw::relay
