// Settings errors are one line with file, line, key and allowed values.
#include <criterion/criterion.h>

#include "fescuegw/settings/Settings.h"

namespace fescuegw::settings {

namespace {

    // Reads the keys used in the tests and returns the first error.
    std::string firstError(const std::string& text)
    {
        auto document = Document::fromText("s.ini", text);
        if (!document)
            return document.error();
        document->name("process", "name");
        document->address("process", "http");
        document->numberOr("process", "limit", 5, 1, 10);
        document->flagOr("process", "join", false);
        return document->finish();
    }

} // namespace

Test(settings, acceptsValidFile)
{
    cr_assert(firstError("[process]\nname = a-1\nhttp = 127.0.0.1:80\nlimit = 10\njoin = yes\n").empty());
    cr_assert(firstError("[process]\nname = a\nhttp = [::1]:80\n").empty());
}

Test(settings, namesFileLineAndKey)
{
    const std::string valid = "[process]\nname = a\nhttp = 127.0.0.1:80\n";
    const std::pair<std::string, std::string> cases[] = {
        { valid + "limt = 3\n", "s.ini:4: process.limt: unknown key" },
        { valid + "limit = 11\n", "s.ini:4: process.limit: allowed: a whole number from 1 to 10" },
        { valid + "limit = x\n", "s.ini:4: process.limit: allowed: a whole number" },
        { valid + "limit = -1\n", "s.ini:4: process.limit: allowed: a whole number" },
        { valid + "join = true\n", "s.ini:4: process.join: allowed: one of yes, no" },
        { valid + "name = b\n", "s.ini:4: process.name: allowed: once in a section" },
        { "[process]\nhttp = 127.0.0.1:80\n", "s.ini: process.name: allowed: a value; the key is missing" },
        { "[process]\nname = a\nhttp = localhost:80\n", "s.ini:3: process.http: allowed: an IP number and a port" },
        { "[process]\nname = a\nhttp = 127.0.0.1:0\n", "s.ini:3: process.http: allowed: an IP number and a port" },
        { "[process\n", "s.ini:1: allowed: [section], key = value, comments" },
    };
    for (const auto& it : cases) {
        const std::string error = firstError(it.first);
        cr_assert(error.starts_with(it.second), "error: %s", error.c_str());
    }
}

} // namespace fescuegw::settings
