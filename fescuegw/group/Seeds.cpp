#include "fescuegw/group/Seeds.h"

#include <limits>

namespace fescuegw::group {

std::vector<settings::Address> readSeeds(settings::Document& document)
{
    static const std::string section = "formation";
    std::vector<settings::Address> seeds = document.addresses(section, "seeds");
    const uint64_t port = document.numberOr(section, "seed-port", 0, 0, std::numeric_limits<uint16_t>::max());
    if (port != 0)
        for (auto& it : seeds)
            it.port = static_cast<uint16_t>(port);
    return seeds;
}

} // namespace fescuegw::group
