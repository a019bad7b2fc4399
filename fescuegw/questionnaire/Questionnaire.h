// Derives the configuration of a team from its questionnaire; the result depends on nothing else.
#pragma once

#include <string>

#include <registry.pb.h>

#include <tl/expected.hpp>

namespace fescuegw::questionnaire {

// Returns the configuration for the answers in `text` (INI format). An invalid answer is reported in one line of the form
// "file:line: section.key: what is allowed", where `file` is used only as the name of the questionnaire.
tl::expected<wire::TeamConfiguration, std::string> plan(const std::string& file, const std::string& text);

// Returns the settings of `configuration`, one "key = value" per line, in a fixed order.
std::string describe(const wire::TeamConfiguration& configuration);

} // namespace fescuegw::questionnaire
