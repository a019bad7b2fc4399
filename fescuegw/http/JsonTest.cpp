// Text that another party wrote.
#include <criterion/criterion.h>

#include "fescuegw/http/Json.h"

using namespace fescuegw::http;

namespace {

std::string nested(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

} // namespace

// A few megabytes of brackets would take hundreds of megabytes of memory, and end the process.
Test(Json, deeplyNestedTextIsRefused)
{
    cr_assert_not(parseJson(nested(maxJsonDepth)).is_discarded());
    cr_assert(parseJson(nested(maxJsonDepth + 1)).is_discarded());
    cr_assert(parseJson(nested(2000000)).is_discarded());
    cr_assert(parseJson(std::string(4000000, '{')).is_discarded());
}

Test(Json, bracketsInStringsDoNotNest)
{
    const std::string brackets(1000, '[');
    cr_assert_eq(parseJson(R"({"a":")" + brackets + R"(\"[{"})")["a"].get<std::string>().size(), 1003);
    cr_assert_not(parseJson(R"(["\\",["{"],{"b":"]"}])").is_discarded());
}

Test(Json, numbersThatNoDoubleHoldsAreRefused)
{
    cr_assert(parseJson(R"({"a":1e400})").is_discarded());
    cr_assert_not(parseJson(R"({"a":18446744073709551616})").is_discarded());
}

// 4 MiB of short values would take over 100 megabytes of memory, more than an agent's machine has left.
Test(Json, textOfTooManyValuesIsRefused)
{
    const auto list = [](size_t values) {
        std::string text = "[0";
        while (--values > 0)
            text += ",0";
        return text + "]";
    };
    cr_assert_eq(parseJson(list(maxJsonValues)).size(), maxJsonValues);
    cr_assert(parseJson(list(maxJsonValues + 1)).is_discarded());
    cr_assert_not(parseJson("\"" + std::string(maxJsonValues + 1, ',') + "\"").is_discarded());
}
