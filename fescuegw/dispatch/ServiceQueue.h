// The order in which submissions of one service get free slots.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fescuegw/base/Types.h"

namespace fescuegw::dispatch {

// Teams share the service by start-time fair queueing (Goyal, Vin and Cheng, 1996), weighted by their shares; within a team
// the submission with the earliest virtual deadline comes first. Not thread-safe.
class ServiceQueue {
public:
    // Adds a submission that has queued tasks; no effect if it is there already.
    void push(const SubmissionKey&, uint32_t share, TimePoint virtualDeadline);
    void remove(const SubmissionKey&);

    // Returns the submission that gets the next free slot.
    std::optional<SubmissionKey> next() const;

    // Accounts for `cost` of service given to `team`.
    void charge(const std::string& team, Duration cost);

    bool empty() const { return m_places.empty(); }
    size_t size() const { return m_places.size(); }

private:
    struct Place {
        TimePoint deadline;
        SubmissionKey key;

        friend auto operator<=>(const Place&, const Place&) = default;
    };
    struct Team {
        std::set<Place> places;
        double virtualTime = 0;
        uint32_t share = 1;
    };

    double leastVirtualTime() const;

    std::map<std::string, Team> m_teams;
    std::map<SubmissionKey, TimePoint> m_places;
};

} // namespace fescuegw::dispatch
