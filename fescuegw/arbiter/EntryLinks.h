// What an agent tells each entry, and when.
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
    // Between two offers to an entry that has not said how often it wants them.
    Duration offerInterval { std::chrono::milliseconds(40) };
    // Reports without acknowledgement are sent again after this.
    Duration reportRepeat { std::chrono::milliseconds(500) };
    // An entry that is no longer listed may be cut off from the state group alone: its link stays while it speaks.
    Duration unlistedMemory { std::chrono::seconds(10) };
};

// Reports to each entry, repeated until it has acknowledged them, with the agent's newest offer in each message. Entries are
// known by the addresses that they listen on. Not thread-safe.
class EntryLinks {
public:
    using SendHook = std::function<void(const std::string& address, const wire::UpstreamToEntry&)>;

    explicit EntryLinks(EntryLinksOptions options = {})
        : m_options(options)
    {
    }

    // Takes over the list of entries. Returns those that are to be connected to.
    std::vector<wire::EntryInfo> onView(TimePoint now, const wire::View&);

    // Notes what an entry says about earlier messages. Returns false when no entry is known at `address`.
    bool onMessage(TimePoint now, const std::string& address, const wire::EntryToUpstream&);

    // Both are for the process that has the identity `entry`; without a link to it they are dropped, since nobody waits.
    void report(const std::string& entry, const wire::AttemptReport&);
    void grant(const std::string& entry, const wire::Grant&);

    // Sends what is due. `offer` is asked once, if anything is.
    void send(TimePoint now, const AgentId& self, const std::function<wire::UpstreamOffer()>& offer, const SendHook&);

    // Forgets entries that are gone. Returns the addresses to disconnect from.
    std::vector<std::string> expire(TimePoint now);

    bool empty() const { return m_links.empty(); }
    // Returns whether every report has been acknowledged.
    bool allAcknowledged() const;

private:
    struct Link {
        // Identity of the process that last spoke on this link.
        std::string entry;
        bool listed = true;
        TimePoint heard;
        TimePoint offerDue;
        // As the entry wants it, or zero until it has said so.
        Duration offerInterval {};
        TimePoint resendDue;
        uint64_t seenSequence = 0;
        uint64_t firstReport = 1;
        std::vector<wire::AttemptReport> reports;
        std::vector<wire::Grant> grants;
        bool urgent = false;
    };

    Link* linkOf(const std::string& entry);

    EntryLinksOptions m_options;
    std::map<std::string, Link> m_links;
};

} // namespace fescuegw::arbiter
