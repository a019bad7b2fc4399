// Where a process that is told no members looks for the state group.
#pragma once

#include <vector>

#include "fescuegw/settings/Settings.h"

namespace fescuegw::group {

// Reads `seeds` and `seed-port` of the section [formation]; faults are kept by `document`. Seeds may be known by the address of
// another service on the same hosts: `seed-port`, unless 0 or absent, then replaces their ports.
std::vector<settings::Address> readSeeds(settings::Document& document);

} // namespace fescuegw::group
