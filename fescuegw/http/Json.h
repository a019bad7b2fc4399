// Parsing of JSON that another party wrote.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace fescuegw::http {

// Parses `text`. Returns a discarded value for text that is not JSON, has a number that no double holds, or is nested more than
// `maxJsonDepth` levels deep or has more than `maxJsonValues` values. Each level of nesting costs some 70 bytes of memory for one
// byte of text, and a level of recursion in functions that visit the whole value.
nlohmann::json parseJson(const std::string& text);

constexpr size_t maxJsonDepth = 32;

// A value takes up to some 100 bytes of memory for 2 to 8 bytes of text. Configurations of some thousand routes have a tenth of
// this, and 4 MiB of fields as they occur in them fewer.
constexpr size_t maxJsonValues = 400000;

} // namespace fescuegw::http
