// Tests the JSON writer: the text must be valid JSON.
#include "core/common/json_func.h"

#include <criterion/criterion.h>

#include <limits>

using namespace mimosapier;

// Guards against invalid JSON when a name or payload has quotes, backslashes or control characters.
Test(json, stringsAreEscaped)
{
    std::string out;
    appendJsonString(out, std::string_view("a\"b\\c\n\x01", 7));
    cr_assert(out == R"("a\"b\\c\n\u0001")", "%s", out.c_str());
}

// Guards against missing separators, and against "nan" for non-finite numbers, which is no JSON.
Test(json, objectAndArray)
{
    const std::string array = JsonArray().raw("1").text("x").finish();
    const std::string object = JsonObject()
                                   .text("t", "v")
                                   .number("n", -3)
                                   .real("r", std::numeric_limits<double>::quiet_NaN())
                                   .boolean("b", true)
                                   .raw("a", array)
                                   .finish();
    cr_assert(object == R"({"t":"v","n":-3,"r":null,"b":true,"a":[1,"x"]})", "%s", object.c_str());
    cr_assert(JsonObject().finish() == "{}");
}
