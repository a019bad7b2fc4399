// Selection of the entries to which an agent offers its upstream.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <control.pb.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::arbiter {

struct EntrySubsetOptions {
    // Number of entries that an agent works with. With more entries than this, links and offers grow with the number of agents
    // instead of with the product of both numbers.
    size_t size = 12;
};

// Returns the entries with which `agent` works: all of them, or `size` if there are more. Entries that are stopping are chosen
// only if there are not enough others.
//
// Every agent chooses for itself, and the choices are even over failure domains and over the entries of a domain. An entry that
// comes or goes changes at most one of an agent's choices per domain.
std::vector<wire::EntryInfo> selectEntries(const std::string& agent, const wire::View&, const EntrySubsetOptions&);

} // namespace fescuegw::arbiter
