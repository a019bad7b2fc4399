// The configuration of a team as a pure function of its questionnaire.
#pragma once

#include <string>

#include <registry.pb.h>

#include <tl/expected.hpp>

namespace fescuegw::questionnaire {

// Returns the configuration that the answers in `text` (INI) mean, or one line naming the answer at fault as
// "file:line: section.key: what is allowed". `file` stands for the questionnaire in messages.
tl::expected<wire::TeamConfiguration, std::string> plan(const std::string& file, const std::string& text);

// Returns the settings of `configuration`, one "key = value" a line, in a fixed order.
std::string describe(const wire::TeamConfiguration& configuration);

} // namespace fescuegw::questionnaire
