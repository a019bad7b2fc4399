// Which waiting entry gets room that becomes free.
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
    // A grant that was not used is void after this: a round trip between failure domains and the time that a busy entry needs.
    Duration life { std::chrono::milliseconds(60) };
    // Demand that was not renewed is forgotten after this.
    Duration demandLife { std::chrono::milliseconds(120) };
};

// Answers load near the whole capacity: tasks wait at their entries, and an upstream's room goes to the most urgent of them in
// the whole system as soon as it is free. Waiting at one upstream while another has room is what this avoids: with ten tasks
// side by side on each, separate lines wait some twenty times as long at 92% of the capacity. Not thread-safe.
class GrantBook {
public:
    struct Granted {
        std::string entry;
        wire::Grant grant;
    };

    explicit GrantBook(GrantOptions options = {})
        : m_options(options)
    {
    }

    // Takes over what waits at `entry`.
    void onDemand(TimePoint now, const std::string& entry, const wire::Demand&);

    // Grants as much of `free` as is wanted; `most` grants at most.
    std::vector<Granted> grant(TimePoint now, Resources free, size_t most);

    // Ends a grant that is used or declined. Returns whether it was still held.
    bool close(uint64_t id) { return m_held.erase(id) > 0; }

    void expire(TimePoint now);
    void clear();

    Resources held() const;
    size_t heldCount() const { return m_held.size(); }

private:
    struct Waiting {
        wire::Demand demand;
        TimePoint told;
        // Grants given since, and not yet seen in its demand.
        uint32_t given = 0;
    };

    struct Held {
        Resources room;
        TimePoint until;
    };

    std::map<std::string, Waiting>::iterator mostUrgent(TimePoint now, const Resources& free);

    GrantOptions m_options;
    std::map<std::string, Waiting> m_waiting;
    std::map<uint64_t, Held> m_held;
    uint64_t m_lastId = 0;
};

} // namespace fescuegw::arbiter
