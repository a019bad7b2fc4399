#include "fescuegw/http/Json.h"

namespace fescuegw::http {

namespace {

    // Counts brackets outside strings; the result is exact for valid JSON.
    bool isTooDeep(const std::string& text)
    {
        size_t depth = 0;
        bool inString = false;
        for (size_t i = 0; i < text.size(); ++i) {
            const char c = text[i];
            if (inString && c == '\\')
                ++i;
            else if (c == '"')
                inString = !inString;
            else if (!inString && (c == '[' || c == '{') && ++depth > maxJsonDepth)
                return true;
            else if (!inString && (c == ']' || c == '}') && depth > 0)
                --depth;
        }
        return false;
    }

} // namespace

nlohmann::json parseJson(const std::string& text)
{
    if (isTooDeep(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace fescuegw::http
