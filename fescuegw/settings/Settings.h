// INI settings files whose keys are all validated before a process starts.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

namespace fescuegw::settings {

// Socket address: an IP address and a port.
struct Address {
    std::string ip;
    uint16_t port = 0;

    std::string text() const;
    friend auto operator<=>(const Address&, const Address&) = default;
};

// Parses an address such as "127.0.0.1:80" or "[::1]:80". On error returns a description of the allowed values. Host names
// are rejected.
tl::expected<Address, std::string> parseAddress(const std::string& text);

// One INI document. Each getter validates one key; the first error is recorded and returned by finish(), which also rejects
// keys that were not read by any getter. Not thread-safe.
class Document {
public:
    // Reads the file at `path`. On error returns a message of one line.
    static tl::expected<Document, std::string> fromFile(const std::string& path);

    // Parses `text`; `name` replaces the file name in messages.
    static tl::expected<Document, std::string> fromText(const std::string& name, const std::string& text);

    std::vector<std::string> sections() const;
    std::vector<std::string> keys(const std::string& section) const;
    bool has(const std::string& section, const std::string& key) const;

    // Required keys.
    std::string name(const std::string& section, const std::string& key);
    std::string text(const std::string& section, const std::string& key);
    Address address(const std::string& section, const std::string& key);
    Address addressOr(const std::string& section, const std::string& key, const Address& absent);
    // One or more addresses, separated by commas.
    std::vector<Address> addresses(const std::string& section, const std::string& key);

    // Optional keys; `absent` is the default value.
    std::string textOr(const std::string& section, const std::string& key, const std::string& absent);
    uint64_t numberOr(const std::string& section, const std::string& key, uint64_t absent, uint64_t min,
        uint64_t max = std::numeric_limits<uint32_t>::max());
    bool flagOr(const std::string& section, const std::string& key, bool absent);
    std::string choiceOr(
        const std::string& section, const std::string& key, const std::vector<std::string>& allowed, const std::string& absent);

    // Records an error in `section.key` found by the caller.
    void reject(const std::string& section, const std::string& key, const std::string& allowed);

    // Returns the first error as "file:line: section.key: message", or "" if every key is valid and was read.
    std::string finish() const;

private:
    struct Value {
        std::string text;
        int line = 0;
        bool wasRead = false;
    };

    Value* find(const std::string& section, const std::string& key);
    Value* require(const std::string& section, const std::string& key);
    static int onKeyValue(void* user, const char* section, const char* key, const char* value);

    std::string m_file;
    std::map<std::string, std::map<std::string, Value>> m_sections;
    std::string m_firstError;
    int m_line = 0;
};

// Returns the content of the secret file at `path` without trailing line breaks. Fails if the file can't be read or its mode
// allows access by group or others.
tl::expected<std::string, std::string> readSecret(const std::string& path);

} // namespace fescuegw::settings
