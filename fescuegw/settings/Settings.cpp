#include "fescuegw/settings/Settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <ini.h>
#include <sys/stat.h>

#include "fescuegw/base/Types.h"

namespace fescuegw::settings {

namespace {

    constexpr unsigned secretModeMask = 077;

    // Line source for ini_parse_stream(). It counts lines, since libinih doesn't pass line numbers to its handler.
    struct LineReader {
        std::istringstream stream;
        int* line;

        static char* next(char* buf, int size, void* user)
        {
            auto* self = static_cast<LineReader*>(user);
            std::string text;
            if (!std::getline(self->stream, text))
                return nullptr;
            ++*self->line;
            const size_t n = std::min(text.size(), static_cast<size_t>(size) - 1);
            std::copy_n(text.data(), n, buf);
            buf[n] = '\0';
            return buf;
        }
    };

    std::string locationPrefix(const std::string& file, int line)
    {
        return line > 0 ? file + ":" + std::to_string(line) + ": " : file + ": ";
    }

    tl::expected<std::string, std::string> readAll(const std::string& path)
    {
        std::ifstream stream(path, std::ios::binary);
        if (!stream)
            return tl::unexpected(path + ": can't be read");
        std::ostringstream content;
        content << stream.rdbuf();
        return content.str();
    }

} // namespace

std::string Address::text() const
{
    return (ip.find(':') == std::string::npos ? ip : "[" + ip + "]") + ":" + std::to_string(port);
}

tl::expected<Address, std::string> parseAddress(const std::string& text)
{
    static const std::string allowed = "an IP number and a port, such as 127.0.0.1:7000 (host names are not allowed)";
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return tl::unexpected(allowed);
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    in6_addr buf {};
    if (inet_pton(AF_INET, ip.c_str(), &buf) != 1 && inet_pton(AF_INET6, ip.c_str(), &buf) != 1)
        return tl::unexpected(allowed);
    uint16_t port = 0;
    const char* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    if (parsed.ec != std::errc() || parsed.ptr != last || port == 0)
        return tl::unexpected(allowed);
    return Address { ip, port };
}

tl::expected<Document, std::string> Document::fromFile(const std::string& path)
{
    auto content = readAll(path);
    if (!content)
        return tl::unexpected(content.error());
    return fromText(path, *content);
}

tl::expected<Document, std::string> Document::fromText(const std::string& name, const std::string& text)
{
    Document document;
    document.m_file = name;
    LineReader reader { std::istringstream(text), &document.m_line };
    const int line = ini_parse_stream(&LineReader::next, &reader, &Document::onKeyValue, &document);
    if (!document.m_firstError.empty())
        return tl::unexpected(document.m_firstError);
    if (line != 0)
        return tl::unexpected(locationPrefix(name, line) + "allowed: [section], key = value, comments");
    return document;
}

int Document::onKeyValue(void* user, const char* section, const char* key, const char* value)
{
    auto* self = static_cast<Document*>(user);
    const auto inserted = self->m_sections[section].try_emplace(key, Value { value, self->m_line, false });
    if (!inserted.second && self->m_firstError.empty())
        self->m_firstError = locationPrefix(self->m_file, self->m_line) + section + "." + key + ": allowed: once in a section";
    return 1;
}

std::vector<std::string> Document::sections() const
{
    std::vector<std::string> names;
    for (const auto& it : m_sections)
        names.push_back(it.first);
    return names;
}

std::vector<std::string> Document::keys(const std::string& section) const
{
    std::vector<std::string> names;
    const auto found = m_sections.find(section);
    if (found == m_sections.end())
        return names;
    for (const auto& it : found->second)
        names.push_back(it.first);
    return names;
}

bool Document::has(const std::string& section, const std::string& key) const
{
    const auto found = m_sections.find(section);
    return found != m_sections.end() && found->second.contains(key);
}

Document::Value* Document::find(const std::string& section, const std::string& key)
{
    const auto inSection = m_sections.find(section);
    if (inSection == m_sections.end())
        return nullptr;
    const auto it = inSection->second.find(key);
    if (it == inSection->second.end())
        return nullptr;
    it->second.wasRead = true;
    return &it->second;
}

Document::Value* Document::require(const std::string& section, const std::string& key)
{
    Value* value = find(section, key);
    if (value == nullptr)
        reject(section, key, "a value; the key is missing");
    return value;
}

std::string Document::name(const std::string& section, const std::string& key)
{
    const Value* value = require(section, key);
    if (value == nullptr)
        return "";
    if (!isValidName(value->text))
        reject(section, key, "1 to 96 letters, digits, dots, dashes and underscores");
    return value->text;
}

std::string Document::text(const std::string& section, const std::string& key)
{
    const Value* value = require(section, key);
    if (value == nullptr)
        return "";
    if (value->text.empty())
        reject(section, key, "a value that is not empty");
    return value->text;
}

Address Document::address(const std::string& section, const std::string& key)
{
    const Value* value = require(section, key);
    if (value == nullptr)
        return {};
    auto parsed = parseAddress(value->text);
    if (!parsed)
        reject(section, key, parsed.error());
    return parsed.value_or(Address());
}

Address Document::addressOr(const std::string& section, const std::string& key, const Address& absent)
{
    return has(section, key) ? address(section, key) : absent;
}

std::vector<Address> Document::addresses(const std::string& section, const std::string& key)
{
    const Value* value = require(section, key);
    if (value == nullptr)
        return {};
    std::vector<Address> list;
    std::istringstream stream(value->text);
    for (std::string it; std::getline(stream, it, ',');) {
        it.erase(0, it.find_first_not_of(' '));
        it.erase(it.find_last_not_of(' ') + 1);
        auto parsed = parseAddress(it);
        if (!parsed) {
            reject(section, key, "addresses separated by commas: " + parsed.error());
            return {};
        }
        list.push_back(*parsed);
    }
    return list;
}

std::string Document::textOr(const std::string& section, const std::string& key, const std::string& absent)
{
    const Value* value = find(section, key);
    return value == nullptr ? absent : value->text;
}

uint64_t Document::numberOr(const std::string& section, const std::string& key, uint64_t absent, uint64_t min, uint64_t max)
{
    const Value* value = find(section, key);
    if (value == nullptr)
        return absent;
    uint64_t n = 0;
    const char* last = value->text.data() + value->text.size();
    const auto parsed = std::from_chars(value->text.data(), last, n);
    if (parsed.ec != std::errc() || parsed.ptr != last || n < min || n > max) {
        reject(section, key, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return absent;
    }
    return n;
}

bool Document::flagOr(const std::string& section, const std::string& key, bool absent)
{
    return choiceOr(section, key, { "yes", "no" }, absent ? "yes" : "no") == "yes";
}

std::string Document::choiceOr(
    const std::string& section, const std::string& key, const std::vector<std::string>& allowed, const std::string& absent)
{
    const Value* value = find(section, key);
    if (value == nullptr)
        return absent;
    if (std::find(allowed.begin(), allowed.end(), value->text) != allowed.end())
        return value->text;
    std::string list;
    for (const auto& it : allowed)
        list += (list.empty() ? "" : ", ") + it;
    reject(section, key, "one of " + list);
    return absent;
}

void Document::reject(const std::string& section, const std::string& key, const std::string& allowed)
{
    if (!m_firstError.empty())
        return;
    const auto inSection = m_sections.find(section);
    int line = 0;
    if (inSection != m_sections.end()) {
        const auto it = inSection->second.find(key);
        if (it != inSection->second.end())
            line = it->second.line;
    }
    m_firstError = locationPrefix(m_file, line) + section + "." + key + ": allowed: " + allowed;
}

std::string Document::finish() const
{
    if (!m_firstError.empty())
        return m_firstError;
    for (const auto& section : m_sections)
        for (const auto& it : section.second)
            if (!it.second.wasRead)
                return locationPrefix(m_file, it.second.line) + section.first + "." + it.first
                    + ": unknown key; see docs/SETTINGS.md";
    return "";
}

tl::expected<std::string, std::string> readSecret(const std::string& path)
{
    struct stat info { };
    if (stat(path.c_str(), &info) != 0)
        return tl::unexpected(path + ": can't be read");
    if ((info.st_mode & secretModeMask) != 0)
        return tl::unexpected(path + ": allowed: mode 0600");
    auto content = readAll(path);
    if (!content)
        return content;
    while (!content->empty() && (content->back() == '\n' || content->back() == '\r'))
        content->pop_back();
    return content;
}

} // namespace fescuegw::settings
