// Seed addresses, at which a process without a configured list of members discovers the state group.
#pragma once

#include <vector>

#include "fescuegw/settings/Settings.h"

namespace fescuegw::group {

// Reads `seeds` and `seed-port` of the section [formation]; errors are recorded in `document`. If `seed-port` is present and not
// 0, it replaces the ports of the seeds, which may be addresses of another service on the same hosts.
std::vector<settings::Address> readSeeds(settings::Document& document);

} // namespace fescuegw::group
