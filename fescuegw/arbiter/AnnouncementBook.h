// The announcements that have come in for one upstream, by the process that each claims to speak for.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fescuegw/arbiter/Upstream.h"

namespace fescuegw::arbiter {

// Keeps claims apart from what is known: anybody can send an announcement, and one may arrive after its sender has ended. Which
// process is there is known from the upstream's own answers, and `find` returns what that process has announced. Not thread-safe.
class AnnouncementBook {
public:
    struct Claim {
        Announcement announcement;
        bool departed = false;

        friend bool operator==(const Claim&, const Claim&) = default;
    };

    enum class Outcome : uint8_t {
        // Not newer than the last one of the same sender, or of a process that has ended. Without effect.
        Outdated,
        // The first one of its sender.
        New,
        Renewed,
    };

    Outcome add(const Announcement&);

    // A process of this name has announced that it is gone. Holds until it announces itself again.
    void depart(const std::string& instance);

    // Returns what the process that was born at `bornMs` has announced, or null. Among several senders it is one whose name has
    // not been refused, then one that has announced more often, then the latest one. Valid until the next call.
    const Claim* find(uint64_t bornMs) const;

    // The process that was born at `bornMs` has refused an order for `instance`.
    void refuseName(uint64_t bornMs, const std::string& instance);

    // The process that was born at `bornMs` is there no longer.
    void endProcess(uint64_t bornMs);

private:
    struct Sender {
        Claim claim;
        uint64_t count = 0;
        uint64_t lastArrival = 0;
        bool nameRefused = false;
        bool ended = false;
    };

    std::vector<Sender> m_senders;
    uint64_t m_arrivals = 0;
};

} // namespace fescuegw::arbiter
