#include "json_splitter.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace celeryramp::platform;
using Json = nlohmann::json;

namespace {

Json randomValue(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 6 : 4)) {
    case 0:
        return *rc::gen::inRange(-1000, 1000);
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return nullptr;
    case 3:
        return *rc::gen::string<std::string>();
    case 4: {
        auto array = Json::array();
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
            array.push_back(randomValue(depth - 1));
        }
        return array;
    }
    default: {
        auto object = Json::object();
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
            object["k" + std::to_string(n)] = randomValue(depth - 1);
        }
        return object;
    }
    }
}

std::string dump(const Json &json)
{
    return json.dump(*rc::gen::inRange(-1, 3), ' ', true, Json::error_handler_t::replace);
}

} // namespace

TEST_CASE("The pieces of a document are those that a parser finds")
{
    rc::prop("arrays and objects", [] {
        auto array = Json::array();
        auto object = Json::object();
        for (int n = *rc::gen::inRange(0, 6); n > 0; --n) {
            array.push_back(randomValue(3));
            object["k" + std::to_string(n)] = array.back();
        }
        array = Json::parse(dump(array));
        object = Json::parse(dump(object));
        const auto arrayText = dump(array);
        const auto elements = splitArray(arrayText);
        RC_ASSERT(elements);
        RC_ASSERT(elements->size() == array.size());
        for (std::size_t i = 0; i < elements->size(); ++i) {
            RC_ASSERT(Json::parse((*elements)[i]) == array[i]);
        }
        const auto objectText = dump(object);
        const auto members = splitObject(objectText);
        RC_ASSERT(members);
        RC_ASSERT(members->size() == object.size());
        for (const auto &[name, value] : *members) {
            RC_ASSERT(Json::parse(value) == object.at(std::string{name}));
        }
    });
}

TEST_CASE("Unbalanced and incomplete documents are not split")
{
    for (const char *text : {"", "[", "]", "[1", "1]", "[1,]", "[,1]", "[1,,2]", "[\"a]", "[{]",
                             "[}]", "{}", "[1] 2", "[\"\\\"]"}) {
        CAPTURE(text);
        REQUIRE_FALSE(splitArray(text));
    }
    for (const char *text : {"", "{", "}", "{\"a\"}", "{\"a\":1,}", "{a:1}", "{\"a:1}",
                             "{\"a\" x:1}", "[]", "{\"a\":[1}"}) {
        CAPTURE(text);
        REQUIRE_FALSE(splitObject(text));
    }
    rc::prop("no text crashes it", [](const std::string &text) {
        static_cast<void>(splitArray("[" + text + "]"));
        static_cast<void>(splitObject("{" + text + "}"));
    });
}

TEST_CASE("The depth of a document counts brackets outside of strings")
{
    REQUIRE_FALSE(isNestedDeeperThan(R"({"a":[1,[2]]})", 3));
    REQUIRE(isNestedDeeperThan(R"({"a":[1,[2]]})", 2));
    REQUIRE_FALSE(isNestedDeeperThan(R"(["[[[[", "\"[[[["])", 1));
    REQUIRE_FALSE(isNestedDeeperThan("[],[],[],[]", 1));
    REQUIRE_FALSE(isNestedDeeperThan("\"[[[[", 0));
    REQUIRE(isNestedDeeperThan("[[[[", 3));
}

TEST_CASE("Values are counted whether the text is valid or not")
{
    using celeryramp::platform::hasMoreValuesThan;
    CHECK_FALSE(hasMoreValuesThan("", 1));
    CHECK_FALSE(hasMoreValuesThan(R"({"a":1,"b":[2,3]})", 5));
    CHECK(hasMoreValuesThan(R"({"a":1,"b":[2,3]})", 4));
    CHECK(hasMoreValuesThan("[[[[[[", 6));
    // What stands in strings does not count, also if the string has no end.
    CHECK_FALSE(hasMoreValuesThan(R"(["[,{,[\",[,"])", 2));
    CHECK_FALSE(hasMoreValuesThan(R"(["[,{,[)", 2));
}
