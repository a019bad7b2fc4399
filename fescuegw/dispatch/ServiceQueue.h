// Queue that decides which submission of a service gets the next free slot.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fescuegw/base/Types.h"

namespace fescuegw::dispatch {

// Teams share the service by start-time fair queueing (Goyal, Vin and Cheng, 1996), weighted by their shares. Within a team,
// the submission with the earliest virtual deadline comes first. Not thread-safe.
class ServiceQueue {
public:
    // Adds a submission that has queued tasks. No effect if it is already in the queue.
    void push(const SubmissionKey&, uint32_t share, TimePoint virtualDeadline);
    void remove(const SubmissionKey&);

    // Returns the submission that gets the next free slot, or nullopt if the queue is empty.
    std::optional<SubmissionKey> next() const;

    // Advances the virtual time of `team` by `cost` divided by its share.
    void charge(const std::string& team, Duration cost);

    bool empty() const { return m_deadlines.empty(); }
    size_t size() const { return m_deadlines.size(); }

private:
    struct Item {
        TimePoint deadline;
        SubmissionKey key;

        friend auto operator<=>(const Item&, const Item&) = default;
    };
    struct Team {
        std::set<Item> items;
        double virtualTime = 0;
        uint32_t share = 1;
    };

    double minVirtualTime() const;

    std::map<std::string, Team> m_teams;
    std::map<SubmissionKey, TimePoint> m_deadlines;
};

} // namespace fescuegw::dispatch
