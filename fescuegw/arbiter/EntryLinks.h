// Messages from an agent to each entry, and their schedule.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <control.pb.h>
#include <direct.pb.h>

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
};

// Sends reports to each entry until it has acknowledged them, with the agent's current offer in each message. Entries are
// identified by the addresses that they listen on. Not thread-safe.
class EntryLinks {
public:
    using SendHook = std::function<void(const std::string& address, const wire::UpstreamToEntry&)>;

    explicit EntryLinks(EntryLinksOptions options = {})
        : m_options(options)
    {
    }

    // Applies the list of entries. Returns the new ones, for the caller to connect to.
    std::vector<wire::EntryInfo> onView(TimePoint now, const wire::View&);

    // Applies the acknowledgements and the offer interval of an entry. Returns false when no entry is known at `address`.
    bool onMessage(TimePoint now, const std::string& address, const wire::EntryToUpstream&);

    // Queue a message for the process with the identity `entry`. Without a link to it the message is dropped: no caller waits
    // for it.
    void report(const std::string& entry, const wire::AttemptReport&);
    void grant(const std::string& entry, const wire::Grant&);

    // Sends the messages that are due. `offer` is called once if there are any.
    void send(TimePoint now, const AgentId& self, const std::function<wire::UpstreamOffer()>& offer, const SendHook&);

    // Removes the links of unlisted, unresponsive entries. Returns their addresses, for the caller to disconnect.
    std::vector<std::string> expire(TimePoint now);

    bool empty() const { return m_links.empty(); }
    bool allAcknowledged() const;

private:
    struct Link {
        // Identity of the process that sent the last message on this link.
        std::string entry;
        bool listed = true;
        TimePoint lastHeardAt;
        TimePoint offerDue;
        // As requested by the entry; zero until it has done so.
        Duration offerInterval {};
        TimePoint retryDue;
        uint64_t seenSequence = 0;
        uint64_t firstReport = 1;
        std::vector<wire::AttemptReport> reports;
        std::vector<wire::Grant> grants;
        bool sendNow = false;
    };

    Link* findLink(const std::string& entry);

    EntryLinksOptions m_options;
    std::map<std::string, Link> m_links;
};

} // namespace fescuegw::arbiter
