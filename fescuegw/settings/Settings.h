// INI settings with every key checked before anything starts.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

namespace fescuegw::settings {

// Address of a socket: an IP number and a port.
struct Address {
    std::string ip;
    uint16_t port = 0;

    std::string text() const;
    friend auto operator<=>(const Address&, const Address&) = default;
};

// Returns the address in `text` ("127.0.0.1:80", "[::1]:80"), or what is allowed. Host names are refused.
tl::expected<Address, std::string> parseAddress(const std::string& text);

// One INI document. Each getter checks one key and remembers the first fault; `finish` refuses the keys that no getter
// asked for. Not thread-safe.
class Document {
public:
    // Returns the document in `path`, or one line that says why it can't be read.
    static tl::expected<Document, std::string> fromFile(const std::string& path);

    // Returns the document in `text`; `name` stands for the file in messages.
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

    // Optional keys, with the value that stands when they are absent.
    std::string textOr(const std::string& section, const std::string& key, const std::string& absent);
    uint64_t numberOr(const std::string& section, const std::string& key, uint64_t absent, uint64_t least,
        uint64_t most = std::numeric_limits<uint32_t>::max());
    bool flagOr(const std::string& section, const std::string& key, bool absent);
    std::string choiceOr(
        const std::string& section, const std::string& key, const std::vector<std::string>& allowed, const std::string& absent);

    // Records a fault of `section.key` found by the caller.
    void reject(const std::string& section, const std::string& key, const std::string& allowed);

    // Returns the first fault as "file:line: section.key: what is allowed", or "" when every key was asked for and valid.
    std::string finish() const;

private:
    struct Value {
        std::string text;
        int line = 0;
        bool asked = false;
    };

    Value* find(const std::string& section, const std::string& key);
    Value* require(const std::string& section, const std::string& key);
    static int onPair(void* user, const char* section, const char* key, const char* value);

    std::string m_file;
    std::map<std::string, std::map<std::string, Value>> m_sections;
    std::string m_fault;
    int m_line = 0;
};

// Returns the content of the secret file at `path` without its last line break, or why it is refused: it must be readable
// and closed to group and others.
tl::expected<std::string, std::string> readSecret(const std::string& path);

} // namespace fescuegw::settings
