// Grants freed capacity of an upstream to entries with waiting tasks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <direct.pb.h>

#include "fescuegw/base/Resources.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

struct GrantOptions {
    // Lifetime of an unused grant: a round trip between failure domains plus the processing time of a busy entry.
    Duration grantLifetime { std::chrono::milliseconds(60) };
    // Demand that is not renewed expires after this.
    Duration demandLifetime { std::chrono::milliseconds(120) };
};

// Near full load, tasks queue at their entries, and an upstream grants freed resources to the most urgent task of the whole
// system. This avoids queueing at one upstream while another has free capacity: with ten concurrent tasks per upstream, separate
// queues wait about twenty times as long at 92% load. Not thread-safe.
class GrantBook {
public:
    struct Granted {
        std::string entry;
        uint32_t priority = 0;
        wire::Grant grant;
    };

    explicit GrantBook(GrantOptions options = {})
        : m_options(options)
    {
    }

    // Replaces the demand of `entry`.
    void onDemand(TimePoint now, const std::string& entry, const wire::Demand&);

    // Grants resources from `free` until no demand fits or `maxGrants` grants are issued. `capacity` is that of the upstream.
    std::vector<Granted> grant(TimePoint now, Resources free, const Resources& capacity, size_t maxGrants);

    // Releases the reservation of a grant that was used or declined. Returns whether it was still reserved.
    bool release(uint64_t id) { return m_reservations.erase(id) > 0; }

    void expire(TimePoint now);
    void clear();

    Resources reserved() const;
    size_t reservationCount() const { return m_reservations.size(); }

private:
    // The tasks of one priority that wait at an entry.
    struct Level {
        uint32_t priority = 0;
        uint32_t tasks = 0;
        TimePoint waitingSince;
        Resources need;
        Resources largestNeed;
        // Grants issued for it since the demand was received.
        uint32_t grantsIssued = 0;
    };

    struct EntryDemand {
        std::vector<Level> levels;
        TimePoint receivedAt;
    };

    // The level of an entry that is granted next.
    struct Candidate {
        const std::string* entry = nullptr;
        Level* level = nullptr;
    };

    struct Reservation {
        Resources resources;
        TimePoint expiresAt;
    };

    static bool precedes(const Level&, const Level&);
    Candidate nextCandidate(TimePoint now, const Resources& free, const Resources& capacity);

    GrantOptions m_options;
    std::map<std::string, EntryDemand> m_demands;
    std::map<uint64_t, Reservation> m_reservations;
    uint64_t m_lastGrantId = 0;
};

} // namespace fescuegw::arbiter
