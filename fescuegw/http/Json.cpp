#include "fescuegw/http/Json.h"

namespace fescuegw::http {

namespace {

    // Counts brackets and commas outside strings; the depth is exact for valid JSON, and the number of values is at least the
    // true one.
    bool isTooDeepOrLong(const std::string& text)
    {
        size_t depth = 0;
        size_t values = 0;
        bool inString = false;
        for (size_t i = 0; i < text.size(); ++i) {
            const char c = text[i];
            if (inString && c == '\\')
                ++i;
            else if (c == '"')
                inString = !inString;
            else if (!inString && (c == '[' || c == '{' || c == ',')) {
                depth += c == ',' ? 0 : 1;
                if (depth > maxJsonDepth || ++values > maxJsonValues)
                    return true;
            } else if (!inString && (c == ']' || c == '}') && depth > 0)
                --depth;
        }
        return false;
    }

} // namespace

nlohmann::json parseJson(const std::string& text)
{
    if (isTooDeepOrLong(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace fescuegw::http
