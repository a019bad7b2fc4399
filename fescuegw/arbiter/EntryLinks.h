// Messages from an agent to each entry, and their schedule.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <control.pb.h>
#include <direct.pb.h>

#include "fescuegw/arbiter/EntrySubset.h"
#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

struct EntryLinksOptions {
    // Interval between offers to an entry that has not requested one.
    Duration offerInterval { std::chrono::milliseconds(40) };
    // Interval after which unacknowledged reports are sent again.
    Duration reportRetryInterval { std::chrono::milliseconds(500) };
    // The link of an unlisted entry is kept for this long after its last message: the entry may be cut off from the state group
    // only.
    Duration unlistedRetention { std::chrono::seconds(10) };
    // The link of a listed entry that is no longer in the agent's subset is kept for this long after its last message. An entry
    // with attempts at the agent sends several messages a second.
    Duration surplusRetention { std::chrono::seconds(2) };
    // Broadcast reports are kept for this long, up to `maxBroadcasts` of them. Longer than any caller keeps retrying the same
    // job.
    Duration broadcastRetention { std::chrono::seconds(30) };
    size_t maxBroadcasts = 256;
    // A cancelled job is reported to all entries once in this time, and up to `maxCancelledJobs` of them. An entry repeats its
    // request until the job has been reported to it.
    Duration cancelledJobRetention { std::chrono::seconds(3) };
    size_t maxCancelledJobs = 256;
    EntrySubsetOptions subset;
};

// Sends reports to each entry of the agent's subset until it has acknowledged them, with the agent's current offer in each
// message. Entries are identified by the addresses that they listen on. Not thread-safe.
class EntryLinks {
public:
    using SendHook = std::function<void(const std::string& address, const wire::UpstreamToEntry&)>;

    // `agent` is the name by which the subset is selected.
    explicit EntryLinks(std::string agent, EntryLinksOptions options = {})
        : m_agent(std::move(agent))
        , m_options(options)
    {
    }

    // Applies the list of entries. Returns the new ones of the subset, for the caller to connect to.
    std::vector<wire::EntryInfo> onView(TimePoint now, const wire::View&);

    // Applies the acknowledgements and the offer interval of an entry, and reports the jobs that were cancelled there to all
    // entries. Returns false when no entry is known at `address`.
    bool onMessage(TimePoint now, const std::string& address, const wire::EntryToUpstream&);

    // Queue a message for the process with the identity `entry`. Without a link to it the message is dropped: no caller waits
    // for it.
    void report(const std::string& entry, const wire::AttemptReport&);
    void grant(const std::string& entry, const wire::Grant&);

    // Queues a report for all entries, and for those that become known within `broadcastRetention`.
    void broadcast(TimePoint now, const wire::AttemptReport&);

    // Sends the messages that are due. `offer` is called once if there are any.
    void send(TimePoint now, const AgentId& self, const std::function<wire::UpstreamOffer()>& offer, const SendHook&);

    // Removes the links of unresponsive entries that are unlisted or not in the subset. Returns their addresses, for the caller
    // to disconnect.
    std::vector<std::string> expire(TimePoint now);

    bool empty() const { return m_links.empty(); }
    // Whether all reports but broadcasts are acknowledged.
    bool allAcknowledged() const;

private:
    struct Link {
        // Identity of the process that sent the last message on this link.
        std::string entry;
        bool listed = true;
        // In the agent's subset. To other listed entries the upstream is offered as not accepting tasks.
        bool selected = true;
        TimePoint lastHeardAt;
        TimePoint offerDue;
        // As requested by the entry; zero until it has done so.
        Duration offerInterval {};
        TimePoint retryDue;
        uint64_t seenSequence = 0;
        uint64_t firstReport = 1;
        // See UpstreamToEntry.discarded_reports.
        uint64_t discardedReports = 0;
        std::vector<wire::AttemptReport> reports;
        std::vector<wire::Grant> grants;
        bool sendNow = false;
    };

    Link* findLink(const std::string& entry);
    void addBroadcasts(TimePoint now, Link&);
    void reportCancelledJob(TimePoint now, Link& sender, const std::string& job);

    std::string m_agent;
    EntryLinksOptions m_options;
    std::map<std::string, Link> m_links;
    // Highest report number of removed links. New links use higher ones, since an entry may still know those of a former link.
    uint64_t m_discardedReports = 0;
    std::deque<std::pair<TimePoint, wire::AttemptReport>> m_broadcasts;
    // When each cancelled job was reported.
    std::map<std::string, TimePoint> m_cancelledJobs;
};

} // namespace fescuegw::arbiter
